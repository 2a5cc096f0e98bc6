package org.apricotstack.serving.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.channel.embedded.EmbeddedChannel;
import org.apricotstack.core.failure.ApricotException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import static org.assertj.core.api.Assertions.assertThat;

class OutcomeSubscriberTest {

    private static final long TIME_LIMIT_MILLIS = 1_500;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ServingLoop loop = new ServingLoop(() -> 0, channel.eventLoop());
    private final List<Throwable> reported = new ArrayList<>();
    private final List<String> results = new ArrayList<>();
    private final List<Throwable> failures = new ArrayList<>();
    private MonoSink<String> response;

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
        loop.onTaskFailure(reported::add);
    }

    /** Where a call may throw, with the operators that lead there. */
    private enum Site {
        SUBSCRIPTION,
        MAP,
        FLAT_MAP,
        FLAT_MAP_AFTER_MAP,
        ON_NEXT,
        RECEIVER
    }

    static Stream<Arguments> failuresAtEachSite() {
        List<Supplier<Throwable>> thrown =
                List.of(() -> new IllegalStateException("thrown"), StackOverflowError::new, LinkageError::new);
        return Stream.of(Site.values()).flatMap(site -> thrown.stream().map(t -> Arguments.of(site, t.get())));
    }

    private static <T> T fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    private Mono<String> response() {
        return Mono.create(sink -> response = sink);
    }

    private Mono<String> call(Site site, Throwable failure) {
        Function<String, Mono<String>> failing = text -> fail(failure);
        return switch (site) {
            case SUBSCRIPTION -> Mono.create(sink -> fail(failure));
            case MAP -> response().map(text -> fail(failure));
            case FLAT_MAP -> response().flatMap(failing);
            case FLAT_MAP_AFTER_MAP -> response()
                    .map(String::trim)
                    .flatMap(failing)
                    .map(String::trim);
            case ON_NEXT -> response().doOnNext(text -> fail(failure));
            default -> response();
        };
    }

    private void subscribe(Mono<String> call) {
        OutcomeSubscriber.subscribe(loop, call, results::add, failures::add);
    }

    /** Guards against a follower that makes no call any more, as the outcome of the last one was lost. */
    @ParameterizedTest
    @MethodSource("failuresAtEachSite")
    void passesOnWhatIsThrownAsOneFailure(Site site, Throwable failure) {
        OutcomeSubscriber.subscribe(
                loop,
                call(site, failure),
                result -> {
                    fail(failure);
                    results.add(result);
                },
                failures::add);
        if (response != null) {
            response.success("response");
        }
        assertThat(results).isEmpty();
        assertThat(failures).containsExactly(failure);
    }

    /** Guards against a failing receiver that nothing shows. */
    @ParameterizedTest
    @MethodSource("failuresAtEachSite")
    void reportsWhatTheReceiversThrow(Site site, Throwable failure) {
        OutcomeSubscriber.subscribe(
                loop, call(site, failure), OutcomeSubscriberTest::failOn, OutcomeSubscriberTest::failOn);
        if (response != null) {
            response.success("response");
        }
        assertThat(reported).isNotEmpty();
    }

    private static void failOn(Object outcome) {
        throw new IllegalStateException("receiver");
    }

    /** Guards against waiting for ever for an outcome that was lost in any other way. */
    @Test
    void countsAnOutcomeThatIsOverdueAsAFailure() {
        subscribe(stepWithoutOutcome());
        channel.advanceTimeBy(TIME_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        assertThat(failures).isEmpty();
        channel.advanceTimeBy(OutcomeSubscriber.GRACE_MILLIS, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        assertThat(failures).singleElement().isInstanceOf(ApricotException.class);
        assertThat(reported).isEqualTo(failures);
    }

    private static Mono<String> stepWithoutOutcome() {
        return Mono.create(sink -> sink.contextView()
                .<OutcomeSubscriber<?>>get(OutcomeSubscriber.class)
                .stepStarted(TIME_LIMIT_MILLIS));
    }

    @Test
    void handlesTheResultOnce() {
        subscribe(response());
        response.success("first");
        response.error(new IllegalStateException("late"));
        assertThat(results).containsExactly("first");
        assertThat(failures).isEmpty();
    }

    @Test
    void handlesNothingAfterACancellation() {
        OutcomeSubscriber.subscribe(loop, response(), results::add, failures::add)
                .dispose();
        response.success("late");
        assertThat(results).isEmpty();
        assertThat(failures).isEmpty();
    }
}
