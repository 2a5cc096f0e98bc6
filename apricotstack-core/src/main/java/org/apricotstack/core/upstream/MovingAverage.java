package org.apricotstack.core.upstream;

/** An exponentially weighted moving average; the plain mean of the first values. */
final class MovingAverage {

    private final double minWeight;
    private double value;
    private int count;

    /** Creates an average without values. */
    MovingAverage(double minWeight) {
        this.minWeight = minWeight;
    }

    /** Adds a value. */
    void add(double latest) {
        count++;
        value += (latest - value) * Math.max(minWeight, 1.0 / count);
    }

    /** Returns whether no value was added. */
    boolean isEmpty() {
        return count == 0;
    }

    /** Returns the average; 0 before the first value. */
    double value() {
        return value;
    }
}
