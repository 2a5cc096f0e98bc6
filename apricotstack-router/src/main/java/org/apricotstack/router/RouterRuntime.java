package org.apricotstack.router;

import org.apricotstack.core.time.MonotonicClock;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The clocks and the timer that a router uses.
 *
 * @param clock the local monotonic clock
 * @param timer runs periodic tasks and timeouts
 * @param startMillis wall-clock time of the start in milliseconds, used as the incarnation of the process
 */
public record RouterRuntime(MonotonicClock clock, Scheduler timer, long startMillis) {

    /**
     * Returns the runtime that uses the system clocks and the shared scheduler.
     *
     * @return the runtime of a process
     */
    public static RouterRuntime system() {
        return new RouterRuntime(System::nanoTime, Schedulers.parallel(), System.currentTimeMillis());
    }
}
