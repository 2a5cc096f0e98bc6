package org.apricotstack.bench.measure;

import java.util.List;

import org.apache.commons.math3.stat.descriptive.DescriptiveStatistics;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line fitted to the samples of a series.
 *
 * @param series name of the series
 * @param slope increase of the value per unit of the independent variable
 * @param intercept value of the line at zero
 * @param r2 share of the variance that the line explains; NaN if all samples have the same x
 * @param median median of all samples
 * @param min the smallest sample
 * @param max the largest sample
 * @param samples number of samples
 */
public record Slope(
        String series, double slope, double intercept, double r2, double median, double min, double max, long samples) {

    /**
     * Fits a line.
     *
     * @param series name of the series
     * @param samples the samples of the series
     * @return the line
     */
    public static Slope of(String series, List<Sample> samples) {
        SimpleRegression regression = new SimpleRegression();
        DescriptiveStatistics statistics = new DescriptiveStatistics();
        for (Sample sample : samples) {
            regression.addData(sample.x(), sample.y());
            statistics.addValue(sample.y());
        }
        return new Slope(
                series,
                regression.getSlope(),
                regression.getIntercept(),
                regression.getRSquare(),
                statistics.getPercentile(50),
                statistics.getMin(),
                statistics.getMax(),
                statistics.getN());
    }
}
