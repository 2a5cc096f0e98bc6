package org.apricotstack.core.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.GroupScheduler;
import org.apricotstack.core.dispatch.LeastFirstTokenUpstreamChooser;
import org.apricotstack.core.dispatch.QueuedAttempt;
import org.apricotstack.core.dispatch.ResponseRatioQueueOrder;
import org.apricotstack.core.dispatch.SchedulerOptions;
import org.apricotstack.core.dispatch.Work;
import org.apricotstack.core.fleet.NoMetrics;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.TestClock;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

class GroupOwnerTest {

    private static final GroupId GROUP = new GroupId("g");

    /** So many that one engine holds one such prompt. */
    private static final long PROMPT_TOKENS = 60_000;

    private static final long ENGINE_TOKENS = 100_000;
    private static final long TICK_MILLIS = 20;

    private final TestClock clock = new TestClock();
    private final StubGateway gateway = new StubGateway();
    private final SchedulerOptions options = new SchedulerOptions(
            FleetLimits.DEFAULT, new ResponseRatioQueueOrder(0.5), 0.2, new LeastFirstTokenUpstreamChooser());
    private final GroupOwner owner = new GroupOwner(
            new GroupScheduler(GROUP, options, clock), gateway, new NoMetrics(), clock, Schedulers.immediate());

    /** Attempts that were sent, and the sinks for their events. */
    private static final class StubGateway implements UpstreamGateway {
        private final Map<AttemptId, Sinks.Many<AttemptEvent>> sent = new HashMap<>();

        @Override
        public Flux<AttemptEvent> run(Assignment assignment, long remainingMillis) {
            Sinks.Many<AttemptEvent> sink = Sinks.many().unicast().onBackpressureBuffer();
            sent.put(assignment.queued().command().attempt(), sink);
            return sink.asFlux();
        }

        @Override
        public Mono<Void> release(Upstream upstream, AttemptId attempt) {
            return Mono.empty();
        }

        @Override
        public Mono<List<HeldStream>> heldStreams(Upstream upstream) {
            return Mono.empty();
        }

        @Override
        public Mono<DesiredUpstreamState> state(Upstream upstream) {
            return Mono.empty();
        }

        @Override
        public Mono<Boolean> order(Upstream upstream, DesiredUpstreamState desired) {
            return Mono.empty();
        }
    }

    private List<AttemptSignal> dispatch(String id) {
        Work work = new Work(
                new ClientAccountId("a"), new ServiceId("s"), PROMPT_TOKENS, 10, List.of(), new byte[0], null, true, 1);
        DispatchCommand command = new DispatchCommand(
                new AttemptId(new RequestId(id), 1), GROUP, work, Deadline.in(clock, 60_000), 0, Set.of());
        List<AttemptSignal> signals = new ArrayList<>();
        owner.dispatch(new QueuedAttempt(command, FleetLimits.DEFAULT.lengthClass(PROMPT_TOKENS), 0, clock.nanos()))
                .subscribe(event -> signals.add(event.signal()));
        return signals;
    }

    /** Starts an engine that holds one prompt, sends it one, and queues another one for a while. */
    private List<AttemptSignal> startAfter(long waitedMillis) {
        owner.update(
                options,
                List.of(new Upstream(
                        new UpstreamId("e"), GROUP, new Address("127.0.0.1", 1), ENGINE_TOKENS, 8, true, true, "")),
                Set.of());
        dispatch("first");
        List<AttemptSignal> second = dispatch("second");
        assertThat(gateway.sent).hasSize(1);
        Map.Entry<AttemptId, Sinks.Many<AttemptEvent>> first =
                gateway.sent.entrySet().iterator().next();
        for (long waited = 0; waited < waitedMillis; waited += FleetLimits.DEFAULT.heartbeatMillis()) {
            run(FleetLimits.DEFAULT.heartbeatMillis());
            first.getValue().tryEmitNext(new AttemptEvent(first.getKey(), new AttemptSignal.Heartbeat()));
        }
        first.getValue().tryEmitComplete();
        assertThat(gateway.sent).hasSize(2);
        return second;
    }

    /** Guards against an engine that counts as silent because its prompt had waited in the queue. */
    @Test
    void countsTheSilenceOfAnUpstreamFromTheTimeAtWhichTheAttemptWasSent() {
        List<AttemptSignal> signals = startAfter(10 * FleetLimits.DEFAULT.silenceMillis());
        run(FleetLimits.DEFAULT.silenceMillis());
        assertThat(signals).noneMatch(AttemptSignal.Refused.class::isInstance);
        run(1);
        assertThat(signals).anyMatch(AttemptSignal.Refused.class::isInstance);
    }

    /** Guards against a router that gives up all that it runs after its own stall, before it reads what has arrived. */
    @Test
    void countsTheSilenceOfAnUpstreamAnewAfterAStallOfThisProcess() {
        List<AttemptSignal> signals = startAfter(0);
        run(500);
        clock.advanceMillis(3 * FleetLimits.DEFAULT.silenceMillis());
        owner.tick();
        run(FleetLimits.DEFAULT.silenceMillis());
        assertThat(signals).noneMatch(AttemptSignal.Refused.class::isInstance);
        run(1);
        assertThat(signals).anyMatch(AttemptSignal.Refused.class::isInstance);
    }

    private void run(long millis) {
        for (long left = millis; left > 0; left -= TICK_MILLIS) {
            clock.advanceMillis(Math.min(left, TICK_MILLIS));
            owner.tick();
        }
    }
}
