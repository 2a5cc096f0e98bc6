package org.apricotstack.serving.publication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.channel.embedded.EmbeddedChannel;
import org.apache.commons.rng.core.source64.SplitMix64;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class FailingReceiverTest {

    private static final long SEED = 1;
    private static final long STEP_MILLIS = 50;
    private static final long WATCHED_MILLIS = 5_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * NANOS_PER_MILLI, channel.eventLoop());
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final PublishedState state = new PublishedState(
            new NameDecoder(), new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
    private final List<Throwable> reported = new ArrayList<>();
    private Site site;
    private Throwable failure;
    private boolean thrown;

    /** Where the following of the platform may throw. */
    private enum Site {
        READ_CALL,
        READ_RESPONSE,
        WATCH_CALL,
        WATCH_RESPONSE,
        CHECK_CALL,
        CHECK_RESPONSE,
        DUTY_TO_READ,
        CHECK_AGE,
        NUMBER_OF_READERS,
        ANNOUNCEMENT,
        LISTED_LISTENER,
        REMOVED_LISTENER
    }

    static Stream<Arguments> failuresAtEachSite() {
        List<Supplier<Throwable>> thrown = List.of(() -> new IllegalStateException("thrown"), StackOverflowError::new);
        return Stream.of(Site.values()).flatMap(site -> thrown.stream().map(t -> Arguments.of(site, t.get())));
    }

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
        loop.onTaskFailure(reported::add);
    }

    @AfterEach
    void stop() {
        log.close();
    }

    /** Throws at the site of the test, once. */
    private void reached(Site reached) {
        if (reached != site || thrown) {
            return;
        }
        thrown = true;
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /** Decodes documents of which only the name and revision matter. */
    private static final class NameDecoder implements PublicationDecoder {
        @Override
        public ServingConfiguration configuration(Publication document) {
            throw new AssertionError("No configuration is published here.");
        }

        @Override
        public UpstreamEntry upstream(Publication document) {
            return new UpstreamEntry(
                    document.upstream(),
                    new ServiceId("service"),
                    new Address("127.0.0.1", 1),
                    new DataCentreId("east"),
                    4,
                    false,
                    document.revision());
        }
    }

    /** The duty of the only router. */
    private final class OnlyReader implements ReaderDuty {
        @Override
        public int platformReaders() {
            reached(Site.NUMBER_OF_READERS);
            return 1;
        }

        @Override
        public boolean mustReadPlatform() {
            reached(Site.DUTY_TO_READ);
            return true;
        }

        @Override
        public long checkAgeMillis() {
            reached(Site.CHECK_AGE);
            return 1;
        }

        @Override
        public void announceVerified() {
            reached(Site.ANNOUNCEMENT);
        }
    }

    /** A platform that publishes another upstream, in place of the one before, at each watch. */
    private final class ChangingSource implements PublicationSource {
        private long revision = 1;

        private Publication upstream() {
            return new Publication(new UpstreamId("u" + revision), revision, new byte[0], false);
        }

        private <T> Mono<T> answer(long delayMillis, Site response, Supplier<T> body) {
            return Mono.create(
                            sink -> loop.loop().schedule(() -> sink.success(body), delayMillis, TimeUnit.MILLISECONDS))
                    .flatMap(ignored -> {
                        reached(response);
                        return Mono.just(body.get());
                    });
        }

        @Override
        public Mono<Snapshot> readAll() {
            reached(Site.READ_CALL);
            return answer(STEP_MILLIS, Site.READ_RESPONSE, () -> new Snapshot(revision, List.of(upstream())));
        }

        @Override
        public Mono<Check> check() {
            reached(Site.CHECK_CALL);
            return answer(STEP_MILLIS, Site.CHECK_RESPONSE, () -> new Check(revision, Optional.empty()));
        }

        @Override
        public Mono<Changes> awaitChanges(long after, long waitMillis) {
            reached(Site.WATCH_CALL);
            return answer(10 * STEP_MILLIS, Site.WATCH_RESPONSE, () -> {
                Publication gone = new Publication(new UpstreamId("u" + revision), revision + 1, new byte[0], true);
                revision += 2;
                return new Changes(revision, List.of(gone, upstream()), false);
            });
        }
    }

    private void advance(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += STEP_MILLIS;
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** Guards against a router that reads nothing any more after a single failure. */
    @ParameterizedTest
    @MethodSource("failuresAtEachSite")
    void followsThePlatformAfterAFailureAt(Site failing, Throwable thrownThere) {
        site = failing;
        failure = thrownThere;
        PublicationFollower follower =
                new PublicationFollower(loop, new ChangingSource(), state, log, new SplitMix64(SEED));
        state.onUpstreamListed((entry, started) -> reached(Site.LISTED_LISTENER));
        state.onUpstreamRemoved(entry -> reached(Site.REMOVED_LISTENER));
        loop.execute(() -> follower.start(new OnlyReader()));
        advance(WATCHED_MILLIS);
        assertThat(thrown).isTrue();
        long calls = follower.calls();
        long checks = follower.checks();
        long revision = state.upstreamsRevision();
        advance(WATCHED_MILLIS);
        assertThat(follower.calls()).isGreaterThan(calls);
        assertThat(follower.checks()).isGreaterThan(checks);
        assertThat(state.upstreamsRevision()).isGreaterThan(revision);
        assertThat(state.upstreamsListed()).isEqualTo(1);
    }
}
