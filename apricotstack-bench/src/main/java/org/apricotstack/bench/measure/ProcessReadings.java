package org.apricotstack.bench.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * Resource usage of a process.
 *
 * @param cpuSeconds CPU time, in seconds
 * @param wakeUps number of voluntary context switches of its threads
 * @param sockets number of open sockets
 * @param peakMegabytes peak resident memory
 */
record ProcessReadings(double cpuSeconds, long wakeUps, long sockets, double peakMegabytes) {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double KILOBYTES_PER_MEGABYTE = 1_024;

    /** Reads the usage of a running process. */
    static ProcessReadings of(ProcessHandle process) {
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        try (Stream<Path> threads = Files.list(folder.resolve("task"));
                Stream<Path> descriptors = Files.list(folder.resolve("fd"))) {
            long wakeUps = threads.mapToLong(thread -> status(thread, "voluntary_ctxt_switches"))
                    .sum();
            return new ProcessReadings(
                    process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / MILLIS_PER_SECOND,
                    wakeUps,
                    descriptors.filter(ProcessReadings::isSocket).count(),
                    status(folder, "VmHWM") / KILOBYTES_PER_MEGABYTE);
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot read " + folder + "; build the program first, and measure on Linux.",
                    e);
        }
    }

    /** Reads a number from the status file of a process or thread; 0 if it has ended meanwhile. */
    private static long status(Path folder, String name) {
        try {
            List<String> lines = Files.readAllLines(folder.resolve("status"));
            return lines.stream()
                    .filter(line -> line.startsWith(name + ":"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns whether a descriptor is a socket. */
    private static boolean isSocket(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
        } catch (IOException e) {
            return false;
        }
    }
}
