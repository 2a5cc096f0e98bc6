/**
 * Measurements of the resource usage of a router as a function of the fleet size.
 */
package org.apricotstack.bench.measure;
