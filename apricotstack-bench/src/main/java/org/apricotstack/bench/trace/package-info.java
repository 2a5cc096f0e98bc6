/**
 * Request traces: reading, writing and generation.
 */
package org.apricotstack.bench.trace;
