package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import reactor.core.publisher.Mono;

/** Measures the resource usage of a router from its start until it is on standby, in fleets that start together. */
final class StartMeasurement {

    private static final List<Integer> ROUTERS = List.of(1, 7, 20, 40, 80);

    /** Seconds after the common start at which the usage is read. */
    private static final List<Integer> READ_AT_SECONDS = List.of(5, 20);

    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final Duration JOINING = Duration.ofSeconds(5);
    private static final double PERCENT = 100;

    private final Supplier<RouterProcesses> fleets;
    private final int maxRouters;
    private final List<Sample> samples = new ArrayList<>();

    /** Creates a measurement of fleets up to a maximum size. */
    StartMeasurement(Supplier<RouterProcesses> fleets, int maxRouters) {
        this.fleets = fleets;
        this.maxRouters = maxRouters;
    }

    /** Runs all measurements. */
    List<Sample> run() {
        for (int routers : ROUTERS) {
            if (routers <= maxRouters) {
                measure(routers);
            }
        }
        return samples;
    }

    /** Measures one fleet: its start, its idle time, and one router that joins it. */
    private void measure(int routers) {
        try (RouterProcesses fleet = fleets.get()) {
            List<ProcessHandle> processes = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                processes.add(fleet.start());
            }
            int elapsedSeconds = 0;
            for (int seconds : READ_AT_SECONDS) {
                sleep(Duration.ofSeconds(seconds - elapsedSeconds));
                elapsedSeconds = seconds;
                add("start-cpu-seconds-at-" + seconds + "s-by-routers", routers, read(processes), r -> r.cpuSeconds());
            }
            List<ProcessReadings> before = read(processes);
            sleep(IDLE);
            List<ProcessReadings> after = read(processes);
            double idleSeconds = IDLE.toSeconds();
            double core = mean(after, ProcessReadings::cpuSeconds) - mean(before, ProcessReadings::cpuSeconds);
            double wakeUps = mean(after, ProcessReadings::wakeUps) - mean(before, ProcessReadings::wakeUps);
            samples.add(new Sample("start-idle-core-percent-by-routers", routers, PERCENT * core / idleSeconds));
            samples.add(new Sample("start-idle-wake-ups-per-second-by-routers", routers, wakeUps / idleSeconds));
            add("start-sockets-by-routers", routers, after, ProcessReadings::sockets);
            add("start-peak-megabytes-by-routers", routers, after, ProcessReadings::peakMegabytes);
            ProcessHandle last = fleet.start();
            sleep(JOINING);
            add("start-cpu-seconds-joining-by-routers", routers, read(List.of(last)), ProcessReadings::cpuSeconds);
        }
    }

    /** Reads the usage of all processes. */
    private static List<ProcessReadings> read(List<ProcessHandle> processes) {
        return processes.stream().map(ProcessReadings::of).toList();
    }

    /** Adds the mean of a reading. */
    private void add(
            String series, int routers, List<ProcessReadings> readings, ToDoubleFunction<ProcessReadings> value) {
        samples.add(new Sample(series, routers, mean(readings, value)));
    }

    /** Returns the mean of a reading. */
    private static double mean(List<ProcessReadings> readings, ToDoubleFunction<ProcessReadings> value) {
        return readings.stream().mapToDouble(value).average().orElse(0);
    }

    /** Blocks for a duration. */
    private static void sleep(Duration duration) {
        Mono.delay(duration).block();
    }
}
