/**
 * Comparison of queue policies in a discrete-event simulation with the real scheduler and modelled engines.
 */
package org.apricotstack.bench.experiment;
