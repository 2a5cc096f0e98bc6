package org.apricotstack.core.stream;

import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.stream.AttemptSignal.Chunk;
import org.apricotstack.core.stream.AttemptSignal.Completed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StreamGuardTest {

    private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 2);

    private static AttemptEvent chunk(AttemptId attempt, long offset, long count) {
        return new AttemptEvent(attempt, new Chunk(offset, count, new byte[0]));
    }

    @ParameterizedTest
    @CsvSource({
        "5, 1, PASS",
        "5, 3, PASS",
        "4, 1, REPEATED",
        "0, 5, REPEATED",
        "6, 1, CUT",
        "4, 2, CUT",
        "-1, 1, REPEATED",
        "9, 0, CUT"
    })
    void classifiesChunksByOffset(long offset, long count, StreamVerdict expected) {
        assertThat(new StreamGuard(ATTEMPT, 5).check(chunk(ATTEMPT, offset, count)))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"r, 1, LATE", "r, 3, CROSSED", "other, 1, CROSSED", "other, 2, CROSSED"})
    void rejectsEventsOfAnotherAttempt(String request, int number, StreamVerdict expected) {
        AttemptId foreign = new AttemptId(new RequestId(request), number);
        assertThat(new StreamGuard(ATTEMPT, 0).check(chunk(foreign, 0, 1))).isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"3, PASS", "2, CUT", "4, CUT", "-1, CUT"})
    void acceptsCompletionOnlyWithTheRightCount(long total, StreamVerdict expected) {
        StreamGuard guard = new StreamGuard(ATTEMPT, 0);
        guard.check(chunk(ATTEMPT, 0, 3));
        assertThat(guard.check(new AttemptEvent(ATTEMPT, new Completed(total, 1, 0, "stop"))))
                .isEqualTo(expected);
    }

    @Test
    void rejectsAnEventWithoutAnAttemptId() {
        assertThat(new StreamGuard(ATTEMPT, 0).check(chunk(null, 0, 1))).isEqualTo(StreamVerdict.CROSSED);
    }
}
