package org.apricotstack.router;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.apricotstack.adapters.metrics.RouterMetrics;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.replication.Validated;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformWatcherTest {

    private static final Duration WAIT = Duration.ofSeconds(2);
    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final int FAILURES = 2;

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final AtomicInteger thrown = new AtomicInteger();
    private Place place;
    private Kind kind;

    /** Where an error is thrown. */
    enum Place {
        SELECTION,
        CALL,
        RECEIVER
    }

    /** What is thrown. */
    enum Kind {
        EXCEPTION,
        STACK_OVERFLOW,
        LINKAGE
    }

    @AfterEach
    void stop() {
        time.dispose();
    }

    private void throwAt(Place at) {
        if (at != place || thrown.get() == FAILURES) {
            return;
        }
        thrown.incrementAndGet();
        switch (kind) {
            case STACK_OVERFLOW -> throw new StackOverflowError("in a test");
            case LINKAGE -> throw new NoClassDefFoundError("in a test");
            default -> throw new IllegalStateException("in a test");
        }
    }

    private Validated<Roster> validate(DocumentSet documents) {
        throwAt(Place.RECEIVER);
        return new Validated<>(Roster.EMPTY, List.of());
    }

    private Mono<DocumentDelta> changes(long since) {
        throwAt(Place.CALL);
        DocumentDelta delta = new DocumentDelta(since, since + 1, false, List.of(), Map.of());
        return Mono.delay(WAIT, time).thenReturn(delta);
    }

    private boolean shouldWatch() {
        throwAt(Place.SELECTION);
        return true;
    }

    private static Stream<Arguments> failures() {
        return Arrays.stream(Place.values())
                .flatMap(at -> Arrays.stream(Kind.values()).map(thrown -> Arguments.of(at, thrown)));
    }

    /** A watch that an error ended would leave the router with its documents of that moment. */
    @ParameterizedTest
    @MethodSource("failures")
    void followsThePlatformAfterAnError(Place at, Kind what) {
        place = at;
        kind = what;
        ReplicationService replication = new ReplicationService(
                documents -> new Validated<>(null, List.of()),
                this::validate,
                new RouterMetrics(),
                () -> time.now(TimeUnit.NANOSECONDS));
        PlatformWatcher watcher = new PlatformWatcher(
                (topic, since, beyond, wait) -> changes(since),
                ReplicationTopic.ROSTER,
                replication,
                this::shouldWatch,
                WAIT,
                new PlatformWatcher.Delays(time, () -> 0));
        watcher.start(Duration.ZERO);
        for (long second = 0; second < MINUTE.toSeconds(); second++) {
            advance();
        }
        assertThat(thrown).hasValue(FAILURES);
        assertThat(replication.replica(ReplicationTopic.ROSTER).version()).isGreaterThan(FAILURES);
        watcher.close();
    }

    /** Advances the time by a second; an error that reaches the scheduler ends its task. */
    private void advance() {
        try {
            time.advanceTimeBy(Duration.ofSeconds(1));
        } catch (StackOverflowError | NoClassDefFoundError e) {
            assertThat(e).hasMessage("in a test");
        }
    }
}
