package org.apricotstack.bench.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * Resource usage of this process, and the loopback traffic of the machine.
 *
 * @param cpuNanos CPU time of this process
 * @param sentBytes bytes sent over loopback, including all headers
 * @param sentPackets packets sent over loopback
 * @param atNanos time of the reading
 */
record MachineReadings(long cpuNanos, long sentBytes, long sentPackets, long atNanos) {

    private static final Path NETWORK = Path.of("/proc/net/dev");
    private static final Pattern SPACES = Pattern.compile("\\s+");
    private static final int SENT_BYTES = 9;
    private static final int SENT_PACKETS = 10;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int GC_RUNS = 3;

    /** Takes a reading. */
    static MachineReadings now() {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        try {
            String line = Files.readAllLines(NETWORK).stream()
                    .map(String::trim)
                    .filter(text -> text.startsWith("lo:"))
                    .findFirst()
                    .orElseThrow();
            String[] fields = SPACES.split(line);
            return new MachineReadings(
                    system.getProcessCpuTime(),
                    Long.parseLong(fields[SENT_BYTES]),
                    Long.parseLong(fields[SENT_PACKETS]),
                    System.nanoTime());
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot read " + NETWORK + "; measurements need Linux.", e);
        }
    }

    /** Returns the seconds since an earlier reading. */
    double secondsSince(MachineReadings earlier) {
        return (atNanos - earlier.atNanos) / NANOS_PER_SECOND;
    }

    /** Returns the share of one core used since an earlier reading. */
    double coreSince(MachineReadings earlier) {
        return (double) (cpuNanos - earlier.cpuNanos) / (atNanos - earlier.atNanos);
    }

    /** Returns the heap in use after garbage collections, in bytes. */
    static long heapBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Returns the bytes allocated by this thread. */
    static long allocatedBytes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        return threads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Returns the CPU time of this thread, in nanoseconds. */
    static long threadNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
