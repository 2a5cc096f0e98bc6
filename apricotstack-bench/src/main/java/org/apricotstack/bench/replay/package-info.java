/**
 * Open-loop replay of traces, and what it measured.
 */
package org.apricotstack.bench.replay;
