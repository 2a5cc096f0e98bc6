/**
 * Complete deployments in one process, for demonstrations, measurements and tests.
 */
package org.apricotstack.bench.deployment;
