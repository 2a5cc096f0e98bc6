/**
 * Traces of requests: reading, writing and generating.
 */
package org.apricotstack.bench.trace;
