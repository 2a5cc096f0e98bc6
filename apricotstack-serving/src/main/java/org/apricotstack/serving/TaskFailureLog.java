package org.apricotstack.serving;

import java.util.function.Consumer;

import com.google.common.base.Ascii;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.LineRate;
import org.apricotstack.serving.observe.ServingMetrics;

/** Logs and counts the tasks and callbacks of the event loop that throw an exception or an error. */
final class TaskFailureLog implements Consumer<Throwable> {

    /** Maximum of lines in a second, so that a periodic task that fails each time does not displace other lines. */
    static final int MAX_LINES_PER_SECOND = 5;

    /** Maximum length of a logged error, in characters; it may quote a document of unknown origin. */
    private static final int MAX_ERROR_LENGTH = 300;

    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final LineRate lines;

    /** Creates a log without a failure. */
    TaskFailureLog(ServingLoop loop, DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
        this.lines = new LineRate(MAX_LINES_PER_SECOND, loop::nowMillis);
    }

    @Override
    public void accept(Throwable failure) {
        metrics.taskFailed();
        if (!lines.take()) {
            metrics.taskFailureLineSuppressed();
            return;
        }
        try {
            write(failure);
        } catch (RuntimeException | Error e) {
            // The counter shows the failure; the loop must go on if there is no memory for a line.
            metrics.taskFailureLineSuppressed();
        }
    }

    /** Writes a line. */
    private void write(Throwable failure) {
        StackTraceElement[] stack = failure.getStackTrace();
        log.line("task_failed")
                .put("error", Ascii.truncate(failure.toString(), MAX_ERROR_LENGTH, "..."))
                .put("thrown_at", stack.length == 0 ? null : stack[0].toString())
                .write();
    }
}
