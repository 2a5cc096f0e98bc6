package org.apricotstack.bench.measure;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/** Runs the measurements behind the page on capacity. */
public final class Measurements {

    private final MeasurementFiles files;
    private final PrintStream out;

    /**
     * Creates the measurements.
     *
     * @param folder where the results go
     * @param out where the lines are printed
     */
    public Measurements(Path folder, PrintStream out) {
        this.files = new MeasurementFiles(folder);
        this.out = out;
    }

    /** Measures state and decisions of one router against the size of the fleet. */
    public void state() {
        print(files.write("state", new StateMeasurement().run()));
    }

    /** Measures control traffic, processor time and heap of routers that run over loopback. */
    public void control() {
        print(files.write("control", new ControlMeasurement().run()));
    }

    /** Measures the news between routers that place requests by themselves. */
    public void news() {
        print(files.write("news", new NewsMeasurement().run()));
    }

    /** Measures how soon all routers know of an upstream that ended under a request. */
    public void suspects() {
        print(files.write("suspects", new SuspectNewsMeasurement().run()));
    }

    /** Measures how soon all routers know of a rate limit that one of them read. */
    public void limits() {
        print(files.write("limits", UpstreamNewsMeasurement.ofLimits().run()));
    }

    /** Measures how soon all routers know of a drain that one of them read. */
    public void drains() {
        print(files.write("drains", UpstreamNewsMeasurement.ofDrains().run()));
    }

    /**
     * Measures starts of routers as processes of their own.
     *
     * @param fleets starts a fleet without routers
     * @param mostRouters size of the largest fleet
     */
    public void starts(Supplier<RouterPrograms> fleets, int mostRouters) {
        print(files.write("start", new StartMeasurement(fleets, mostRouters).run()));
    }

    /** Prints lines. */
    private void print(List<Slope> slopes) {
        for (Slope slope : slopes) {
            out.println(String.format(
                    Locale.ROOT,
                    "%-50s slope %.4g intercept %.4g r2 %.3f median %.4g (%.4g to %.4g)",
                    slope.series(),
                    slope.slope(),
                    slope.intercept(),
                    slope.r2(),
                    slope.median(),
                    slope.least(),
                    slope.most()));
        }
    }
}
