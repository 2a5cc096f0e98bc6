package org.apricotstack.serving;

import java.lang.management.ManagementFactory;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;

import com.sun.management.ThreadMXBean;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs a decoder on a thread with the stack of the deployed process, and checks how much memory it allocates. */
public final class BoundedThread {

    private static final int STACK_BYTES = 256 * 1024;

    /** More than any decoder of a message of a kilobyte needs, and less than the lengths that messages announce. */
    private static final long MAX_ALLOCATED_BYTES = 8 * 1024 * 1024;

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private BoundedThread() {}

    /**
     * Runs a decoder; a second time if the first one allocated too much, as it may have initialized classes.
     *
     * @param decoder throws whatever it does not declare
     */
    public static void run(Runnable decoder) {
        if (allocatedBytes(decoder) > MAX_ALLOCATED_BYTES) {
            assertThat(allocatedBytes(decoder)).isLessThan(MAX_ALLOCATED_BYTES);
        }
    }

    private static long allocatedBytes(Runnable decoder) {
        FutureTask<Long> task = new FutureTask<>(() -> {
            long before = THREADS.getCurrentThreadAllocatedBytes();
            decoder.run();
            return THREADS.getCurrentThreadAllocatedBytes() - before;
        });
        new Thread(null, task, "decoder", STACK_BYTES).start();
        try {
            return task.get();
        } catch (ExecutionException e) {
            throw new AssertionError("The decoder threw an undeclared error.", e.getCause());
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
