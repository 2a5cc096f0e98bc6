package org.apricotstack.router;

import java.util.function.Supplier;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/** Makes steps of periodic work that complete whatever they throw, as an error would end the periodic work for good. */
final class IsolatedStep {

    private IsolatedStep() {}

    /**
     * Returns a step that logs its failure and completes.
     *
     * @param name the name of the periodic work, for the log
     * @param step creates the step at each subscription
     */
    static Mono<Void> of(String name, Supplier<Mono<Void>> step) {
        return Mono.defer(() -> created(name, step)).onErrorResume(error -> {
            failed(name, error);
            return Mono.empty();
        });
    }

    /**
     * Runs a step and logs its failure.
     *
     * @param name the name of the periodic work, for the log
     * @param step the step
     */
    static void run(String name, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            failed(name, e);
        }
    }

    /** Creates the step. Errors of the virtual machine are caught here, as Reactor passes them on to its scheduler. */
    private static Mono<Void> created(String name, Supplier<Mono<Void>> step) {
        try {
            return step.get();
        } catch (RuntimeException | Error e) {
            failed(name, e);
            return Mono.empty();
        }
    }

    /** Logs a failure. */
    private static void failed(String name, Throwable error) {
        Logger.error(error, "event=periodic_work_failed work={}", name);
    }
}
