package org.apricotstack.router;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.router.StopController.Stage;
import org.junit.jupiter.api.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks when a stopping router accepts requests, and when it ends. */
class StopControllerTest {

    private static final long KEEP_MILLIS = 15_000;
    private static final long LIMIT_MILLIS = 300_000;
    private static final long LONG_MILLIS = 120_000;
    private static final long SHORT_MILLIS = 10_000;
    private static final long CHECK_MILLIS = 50;

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private long active;
    private long keepMillis = KEEP_MILLIS;
    private int announcements;
    private int taken;
    private final StopController stop = controller(LIMIT_MILLIS);

    private StopController controller(long limitMillis) {
        return new StopController(
                new ProcessId(new HostId("r0"), 1),
                () -> active,
                () -> keepMillis,
                () -> announcements++,
                () -> taken++,
                new RouterRuntime(() -> time.now(TimeUnit.NANOSECONDS), time, 1, Duration.ofMillis(limitMillis)));
    }

    private void advance(long millis) {
        time.advanceTimeBy(Duration.ofMillis(millis));
    }

    private boolean accepts(long timeLimitMillis) {
        return stop.closedReason("request", timeLimitMillis) == null;
    }

    @Test
    void endsAfterTheCachedTimeIfNoRequestArrives() {
        stop.drain();
        advance(KEEP_MILLIS - 1);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
        advance(CHECK_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
        assertThat(stop.closedReason("request", SHORT_MILLIS)).isEqualTo(RefusalReason.STOPPING);
    }

    @Test
    void endsOnlyOnceNoRequestHasArrivedForTheCachedTime() {
        stop.drain();
        for (int i = 0; i < 3; i++) {
            advance(KEEP_MILLIS - 1);
            assertThat(accepts(SHORT_MILLIS)).as("request %d", i).isTrue();
        }
        advance(KEEP_MILLIS - 1);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
        advance(CHECK_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
        assertThat(taken).isEqualTo(3);
    }

    @Test
    void endsOnlyOnceNothingIsInProgress() {
        active = 1;
        stop.drain();
        advance(2 * KEEP_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
        active = 0;
        advance(CHECK_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void endsAtItsTimeLimitThoughARequestIsInProgress() {
        active = 1;
        stop.drain();
        advance(LIMIT_MILLIS - 1);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
        advance(CHECK_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void acceptsNothingAfterATimeLimitThatIsShorterThanTheCachedTime() {
        StopController shortStop = controller(SHORT_MILLIS);
        shortStop.drain();
        advance(SHORT_MILLIS + CHECK_MILLIS);
        assertThat(shortStop.stage()).isEqualTo(Stage.ENDED);
        assertThat(shortStop.closedReason("request", 0)).isEqualTo(RefusalReason.STOPPING);
    }

    @Test
    void refusesOnlyRequestsThatMayExceedItsTimeLimit() {
        stop.drain();
        for (long passed = 0; passed < LIMIT_MILLIS - LONG_MILLIS; passed += SHORT_MILLIS) {
            assertThat(accepts(LONG_MILLIS)).as("long, at %d ms", passed).isTrue();
            advance(SHORT_MILLIS);
        }
        advance(1);
        assertThat(accepts(LONG_MILLIS)).isFalse();
        assertThat(accepts(SHORT_MILLIS)).isTrue();
    }

    @Test
    void acceptsAnyRequestWhileCallersMayUseItsAddress() {
        stop.drain();
        advance(KEEP_MILLIS - 1);
        assertThat(accepts(LIMIT_MILLIS)).isTrue();
        advance(1);
        assertThat(accepts(LIMIT_MILLIS)).isFalse();
    }

    @Test
    void endsAlthoughCallersNeverAskForAddressesAgain() {
        stop.drain();
        while (stop.stage() == Stage.LEAVING && time.now(TimeUnit.MILLISECONDS) < 2 * LIMIT_MILLIS) {
            active += accepts(SHORT_MILLIS) ? 1 : 0;
            time.schedule(() -> active = 0, SHORT_MILLIS - 1, TimeUnit.MILLISECONDS);
            advance(SHORT_MILLIS);
        }
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
        assertThat(active).isZero();
    }

    @Test
    void waitsForTheLongerOfTwoCachedTimes() {
        stop.drain();
        keepMillis = 2 * KEEP_MILLIS;
        advance(2 * KEEP_MILLIS - 1);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
        keepMillis = KEEP_MILLIS;
        advance(CHECK_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
    }

    @Test
    void waitsForTheCachedTimeThatWasInForceAtTheStart() {
        stop.drain();
        keepMillis = 0;
        advance(KEEP_MILLIS - 1);
        assertThat(stop.stage()).isEqualTo(Stage.LEAVING);
    }

    @Test
    void acceptsAllRequestsBeforeTheShutdownAndAnnouncesItOnce() {
        assertThat(accepts(LIMIT_MILLIS)).isTrue();
        assertThat(taken).isZero();
        stop.drain();
        advance(SHORT_MILLIS);
        stop.drain();
        assertThat(announcements).isEqualTo(1);
        advance(KEEP_MILLIS - SHORT_MILLIS);
        assertThat(stop.stage()).isEqualTo(Stage.ENDED);
    }
}
