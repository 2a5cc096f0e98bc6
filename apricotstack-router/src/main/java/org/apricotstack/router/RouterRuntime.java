package org.apricotstack.router;

import org.apricotstack.core.time.MonotonicClock;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * What a router takes from the machine.
 *
 * @param clock the local monotonic clock
 * @param timer runs periodic work and time limits
 * @param startMillis wall-clock time of the start in milliseconds, which makes the incarnation
 */
public record RouterRuntime(MonotonicClock clock, Scheduler timer, long startMillis) {

    /**
     * Takes the machine's own clock and the shared timer.
     *
     * @return the runtime of a process
     */
    public static RouterRuntime ofMachine() {
        return new RouterRuntime(System::nanoTime, Schedulers.parallel(), System.currentTimeMillis());
    }
}
