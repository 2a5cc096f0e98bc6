package org.apricotstack.router;

import java.time.Duration;

import org.apricotstack.core.time.MonotonicClock;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The clocks and the timer that a router uses.
 *
 * @param clock the local monotonic clock
 * @param timer runs periodic tasks and timeouts
 * @param startMillis wall-clock time of the start in milliseconds, used as the incarnation of the process
 * @param stopLimit maximum time of a graceful shutdown
 */
public record RouterRuntime(MonotonicClock clock, Scheduler timer, long startMillis, Duration stopLimit) {

    /** Maximum time of a graceful shutdown, unless another one is given. */
    public static final Duration DEFAULT_STOP_LIMIT = Duration.ofSeconds(300);

    /**
     * Returns the runtime that uses the system clocks and the shared scheduler.
     *
     * @return the runtime of a process
     */
    public static RouterRuntime system() {
        return system(DEFAULT_STOP_LIMIT);
    }

    /**
     * Returns the runtime that uses the system clocks and the shared scheduler.
     *
     * @param stopLimit maximum time of a graceful shutdown
     * @return the runtime of a process
     */
    public static RouterRuntime system(Duration stopLimit) {
        return new RouterRuntime(System::nanoTime, Schedulers.parallel(), System.currentTimeMillis(), stopLimit);
    }
}
