package org.apricotstack.serving;

import java.util.function.Consumer;

import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;

/** Logs and counts the tasks of the event loop that throw an exception. */
final class TaskFailureLog implements Consumer<RuntimeException> {

    private final DecisionLog log;
    private final ServingMetrics metrics;

    /** Creates a log without a failure. */
    TaskFailureLog(DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void accept(RuntimeException failure) {
        StackTraceElement[] stack = failure.getStackTrace();
        metrics.taskFailed();
        log.line("task_failed")
                .put("error", failure.toString())
                .put("thrown_at", stack.length == 0 ? null : stack[0].toString())
                .write();
    }
}
