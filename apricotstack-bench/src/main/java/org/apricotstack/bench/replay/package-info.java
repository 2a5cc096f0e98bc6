/**
 * Open-loop replay of traces, and its results.
 */
package org.apricotstack.bench.replay;
