/**
 * Counters, gauges and histograms of a router.
 */
package org.apricotstack.adapters.metrics;
