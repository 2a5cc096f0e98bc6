/**
 * Counters, gauges and histograms.
 */
package org.apricotstack.adapters.metrics;
