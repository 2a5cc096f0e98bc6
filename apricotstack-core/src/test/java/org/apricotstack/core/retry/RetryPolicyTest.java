package org.apricotstack.core.retry;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTest {

    @ParameterizedTest
    @EnumSource(RefusalReason.class)
    void neverRetriesAnUnrepeatableRequestThatMayHaveRun(RefusalReason reason) {
        assertThat(RetryPolicy.reasonToRetry(Refusal.unknown(reason), false, true))
                .isNull();
        assertThat(RetryPolicy.reasonToRetry(Refusal.unknown(reason), true, false))
                .isNull();
    }

    @ParameterizedTest
    @CsvSource({
        "UPSTREAM_REFUSED, NOT_RUN, false, UPSTREAM_DID_NOT_TAKE",
        "OWNER_UNREACHABLE, NOT_RUN, false, OWNER_DID_NOT_TAKE",
        "QUEUE_FULL, NOT_RUN, false, OTHER_GROUP",
        "UPSTREAM_FAILED, UNKNOWN, true, UPSTREAM_FAILED",
        "ANSWER_CUT, UNKNOWN, true, ANSWER_NOT_WHOLE",
        "OWNER_LOST, UNKNOWN, true, OWNER_LOST",
        "TIME_LIMIT, NOT_RUN, true,",
        "RATE_LIMITED, NOT_RUN, true,"
    })
    void returnsTheReasonToRetry(RefusalReason reason, Outcome outcome, boolean repeatable, RetryReason expected) {
        Refusal refusal = new Refusal(reason, outcome, 0, "");
        assertThat(RetryPolicy.reasonToRetry(refusal, repeatable, true)).isEqualTo(expected);
    }

    @Test
    void limitsRetriesToAShareOfFirstAttempts() {
        RetryBudget budget = new RetryBudget();
        int spent = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.deposit(0.1);
            spent += budget.trySpend() ? 1 : 0;
        }
        assertThat(spent).isBetween(140, 151);
    }
}
