package org.apricotstack.core.limits;

import java.util.List;
import java.util.Set;

import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.PresetId;
import org.apricotstack.core.time.TestClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AccountLimiterTest {

    private static final Preset ORDINARY = new Preset(new PresetId("p"), 0.5, 0.2, 10, 1);
    private static final ClientAccount ACCOUNT =
            new ClientAccount(new ClientAccountId("a"), List.of(), Set.of(), 1_000, 5_000, 3);

    private final TestClock clock = new TestClock();
    private final AccountLimiter limiter = new AccountLimiter(account -> 1, clock);

    @Test
    void admitsAPromptLongerThanTheBurstAndDelaysTheNext() {
        assertThat(limiter.admit(ACCOUNT, ORDINARY, 8_000)).isNull();
        Refusal refusal = limiter.admit(ACCOUNT, ORDINARY, 10);
        assertThat(refusal.reason()).isEqualTo(RefusalReason.RATE_LIMITED);
        assertThat(refusal.retryAfterMillis()).isBetween(3_000L, 3_002L);
        clock.advanceMillis(refusal.retryAfterMillis());
        assertThat(limiter.admit(ACCOUNT, ORDINARY, 10)).isNull();
    }

    @Test
    void limitsConcurrentRequests() {
        for (int i = 0; i < 3; i++) {
            assertThat(limiter.admit(ACCOUNT, ORDINARY, 1)).isNull();
        }
        assertThat(limiter.admit(ACCOUNT, ORDINARY, 1).reason()).isEqualTo(RefusalReason.CONCURRENCY_LIMITED);
        limiter.release(ACCOUNT.id(), 0);
        assertThat(limiter.admit(ACCOUNT, ORDINARY, 1)).isNull();
    }

    @Test
    void reportsDemandOnce() {
        limiter.admit(ACCOUNT, ORDINARY, 7);
        assertThat(limiter.drainDemand()).containsEntry(ACCOUNT.id(), 7L);
        assertThat(limiter.drainDemand()).isEmpty();
    }
}
