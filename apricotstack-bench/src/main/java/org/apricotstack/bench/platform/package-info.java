/**
 * A stand-in for the platform's documents.
 */
package org.apricotstack.bench.platform;
