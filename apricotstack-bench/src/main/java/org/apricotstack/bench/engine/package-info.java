/**
 * A stand-in for model engines: a step model of batching, memory and prefix caching, and its HTTP face.
 */
package org.apricotstack.bench.engine;
