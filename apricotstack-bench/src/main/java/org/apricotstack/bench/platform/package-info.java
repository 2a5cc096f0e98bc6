/**
 * Simulated platform that serves documents.
 */
package org.apricotstack.bench.platform;
