package org.apricotstack.bench.measure;

/**
 * One measured point.
 *
 * @param series name of its series
 * @param x independent variable
 * @param y measured value
 */
public record Sample(String series, double x, double y) {}
