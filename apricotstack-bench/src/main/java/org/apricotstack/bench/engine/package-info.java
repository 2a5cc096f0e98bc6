/**
 * Simulated engines: a step model of batching, memory and prefix caching, and its HTTP server.
 */
package org.apricotstack.bench.engine;
