package org.apricotstack.bench.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import reactor.core.publisher.Mono;

/** Measures what a router costs from its start until it stands by, in fleets that start together. */
final class StartMeasurement {

    private static final List<Integer> ROUTERS = List.of(1, 7, 20, 40, 80);

    /** Seconds after the common start at which the fleet is read. */
    private static final List<Integer> READ_AT_SECONDS = List.of(5, 20);

    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final Duration JOINING = Duration.ofSeconds(5);
    private static final double PERCENT = 100;

    private final Supplier<RouterPrograms> fleets;
    private final int mostRouters;
    private final List<Sample> samples = new ArrayList<>();

    /** Creates a measurement of fleets up to a size. */
    StartMeasurement(Supplier<RouterPrograms> fleets, int mostRouters) {
        this.fleets = fleets;
        this.mostRouters = mostRouters;
    }

    /** Runs all measurements. */
    List<Sample> run() {
        for (int routers : ROUTERS) {
            if (routers <= mostRouters) {
                measure(routers);
            }
        }
        return samples;
    }

    /** Measures one fleet: its start, its idle time, and one router that joins it. */
    private void measure(int routers) {
        try (RouterPrograms fleet = fleets.get()) {
            List<ProcessHandle> processes = new ArrayList<>();
            for (int i = 0; i < routers; i++) {
                processes.add(fleet.start());
            }
            int passedSeconds = 0;
            for (int seconds : READ_AT_SECONDS) {
                pause(Duration.ofSeconds(seconds - passedSeconds));
                passedSeconds = seconds;
                add("start-cpu-seconds-at-" + seconds + "s-by-routers", routers, read(processes), r -> r.cpuSeconds());
            }
            List<ProcessReadings> before = read(processes);
            pause(IDLE);
            List<ProcessReadings> after = read(processes);
            double idleSeconds = IDLE.toSeconds();
            double core = mean(after, ProcessReadings::cpuSeconds) - mean(before, ProcessReadings::cpuSeconds);
            double wakeUps = mean(after, ProcessReadings::wakeUps) - mean(before, ProcessReadings::wakeUps);
            samples.add(new Sample("start-idle-core-percent-by-routers", routers, PERCENT * core / idleSeconds));
            samples.add(new Sample("start-idle-wake-ups-per-second-by-routers", routers, wakeUps / idleSeconds));
            add("start-sockets-by-routers", routers, after, ProcessReadings::sockets);
            add("start-peak-megabytes-by-routers", routers, after, ProcessReadings::peakMegabytes);
            ProcessHandle last = fleet.start();
            pause(JOINING);
            add("start-cpu-seconds-joining-by-routers", routers, read(List.of(last)), ProcessReadings::cpuSeconds);
        }
    }

    /** Reads all processes. */
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

    /** Lets time pass. */
    private static void pause(Duration duration) {
        Mono.delay(duration).block();
    }
}
