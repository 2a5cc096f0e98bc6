package org.apricotstack.bench.measure;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

/** Runs the measurements on which the capacity page is based. */
public final class Measurements {

    private final MeasurementFiles files;
    private final PrintStream out;

    /**
     * Creates the measurements.
     *
     * @param folder folder for the results
     * @param out where the fitted lines are printed
     */
    public Measurements(Path folder, PrintStream out) {
        this.files = new MeasurementFiles(folder);
        this.out = out;
    }

    /** Measures state and decisions of one router as a function of the fleet size. */
    public void state() {
        print(files.write("state", new StateMeasurement().run()));
    }

    /** Measures control traffic, CPU time and heap of routers connected over loopback. */
    public void control() {
        print(files.write("control", new ControlMeasurement().run()));
    }

    /** Measures the gossip between routers. */
    public void gossip() {
        print(files.write("news", new GossipMeasurement().run()));
    }

    /** Measures the propagation time of an upstream crash under a request. */
    public void suspects() {
        print(files.write("suspects", new SuspectGossipMeasurement().run()));
    }

    /** Measures the propagation time of a rate limit that one router received from an upstream. */
    public void limits() {
        print(files.write("limits", UpstreamGossipMeasurement.ofLimits().run()));
    }

    /** Measures the propagation time of a drain that one router received from an upstream. */
    public void drains() {
        print(files.write("drains", UpstreamGossipMeasurement.ofDrains().run()));
    }

    /**
     * Measures the start of routers that run as separate processes.
     *
     * @param fleets supplier of fleets without routers
     * @param maxRouters size of the largest fleet
     */
    public void starts(Supplier<RouterProcesses> fleets, int maxRouters) {
        print(files.write("start", new StartMeasurement(fleets, maxRouters).run()));
    }

    /** Prints fitted lines. */
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
                    slope.min(),
                    slope.max()));
        }
    }
}
