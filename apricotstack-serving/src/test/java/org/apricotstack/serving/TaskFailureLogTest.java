package org.apricotstack.serving;

import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TaskFailureLogTest {

    private static final int FAILURES = 1_000;

    private final ServingMetrics metrics = new ServingMetrics();
    private final ServingLoop loop = new ServingLoop(() -> 0);

    @AfterEach
    void stop() {
        loop.close();
    }

    private long count(String counter) {
        return metrics.registry().counter(counter).getCount();
    }

    /** Guards against a log that is flooded by a task that fails at each run. */
    @Test
    void boundsTheLinesOfFailuresInASecondAndCountsAll() {
        DecisionLog log = new DecisionLog("host", () -> 0);
        TaskFailureLog failures = new TaskFailureLog(loop, log, metrics);
        for (int i = 0; i < FAILURES; i++) {
            failures.accept(new StackOverflowError());
        }
        log.close();
        assertThat(count("process.tasks_failed")).isEqualTo(FAILURES);
        assertThat(count("process.task_failure_lines_suppressed"))
                .isEqualTo(FAILURES - TaskFailureLog.MAX_LINES_PER_SECOND);
    }
}
