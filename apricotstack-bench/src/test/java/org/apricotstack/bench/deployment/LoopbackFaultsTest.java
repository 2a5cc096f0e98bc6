package org.apricotstack.bench.deployment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apricotstack.bench.engine.EngineFaults.Fault;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.replay.Replay;
import org.apricotstack.bench.replay.ReplayCaller;
import org.apricotstack.bench.replay.ReplayOutcome;
import org.apricotstack.bench.replay.ReplayResult;
import org.apricotstack.bench.trace.TraceGenerator;
import org.apricotstack.bench.trace.TraceOptions;
import org.apricotstack.bench.trace.TraceRecord;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.router.Router;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

/** Injects faults of engines, of the platform and of routers into a complete deployment over loopback TCP. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LoopbackFaultsTest {

    private static final DeploymentShape SHAPE =
            new DeploymentShape("test", List.of("dc-a", "dc-b"), List.of(2, 2), 1, 2, 4, 0.5);
    private static final EngineSpeed SPEED = new EngineSpeed(400_000, 4_096, 2_000, 5, 60);
    private static final Duration MAX_WAIT = Duration.ofSeconds(70);
    private static final int LATER_CALLERS = 3;
    private static final Duration CALLER_OFFSET = Duration.ofMillis(750);

    private LocalDeployment deployment;

    @BeforeAll
    void start() {
        deployment = new LocalDeployment(SHAPE, SPEED, 1);
        LocalDeployment.await("all routers name each other", () -> deployment.routers().values().stream()
                .allMatch(router -> LocalDeployment.namedRouters(router)
                        == deployment.routers().size()));
    }

    @AfterAll
    void stop() {
        deployment.close();
    }

    @AfterEach
    void endFaults() {
        deployment.engines().values().forEach(engine -> engine.faults().active().forEach(engine.faults()::end));
        deployment.replicas().values().forEach(replica -> replica.faults()
                .active()
                .forEach(replica.faults()::end));
    }

    private List<ReplayResult> replay(long seed, int requests, double perSecond, double plainShare) {
        List<TraceRecord> trace = TraceGenerator.generate(new TraceOptions(
                seed,
                requests,
                perSecond,
                0.02,
                300_000,
                0.3,
                plainShare,
                SHAPE.accountNames(),
                DeploymentDocuments.SERVICES));
        try (ReplayCaller caller = new ReplayCaller(deployment.entries(), MAX_WAIT)) {
            return Replay.run(trace, caller, 1, result -> {});
        }
    }

    private static List<ReplayResult> notCompleted(List<ReplayResult> results) {
        return results.stream()
                .filter(result -> result.outcome() != ReplayOutcome.COMPLETED)
                .toList();
    }

    /**
     * Guards against truncated, mixed-up or late answers and leaked engine memory while one engine of each data centre
     * is faulty. The end of a connection must not be taken for the end of an answer, nor a cancellation for a release.
     */
    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"CUT", "CROSSED", "SILENT_STREAMS", "LEAKING", "LEAVING"})
    void completesAnswersWhileOneEngineOfEachDataCentreIsFaulty(Fault fault) {
        deployment.engines().get("engine-dc-a-1").faults().start(fault);
        deployment.engines().get("engine-dc-b-1").faults().start(fault);
        List<ReplayResult> results = replay(fault.ordinal(), 60, 40, 0);
        assertThat(notCompleted(results)).isEmpty();
        endFaults();
        LocalDeployment.await("no engine holds memory", () -> deployment.heldTokens() == 0);
    }

    /**
     * Guards against running a non-idempotent call twice when a replica runs the call and crashes before it responds,
     * and the caller retries with the same ticket at other routers.
     */
    @Test
    void runsNonIdempotentCallsAtMostOnce() {
        deployment.replicas().get("replica-dc-a-1").faults().start(Fault.DIES_AFTER_RUN);
        List<ReplayResult> results = replay(21, 40, 40, 1);
        assertThat(deployment.ledger().maxRuns()).isEqualTo(1);
        assertThat(results)
                .allMatch(result ->
                        result.outcome() == ReplayOutcome.COMPLETED || result.outcome() == ReplayOutcome.UNKNOWN);
        assertThat(results)
                .filteredOn(result -> result.outcome() == ReplayOutcome.UNKNOWN)
                .isNotEmpty()
                .allMatch(result -> deployment
                                .ledger()
                                .runs("call-" + result.record().hashIds().get(0))
                        == 1);
    }

    /**
     * Guards against sending new work to a draining upstream, here an engine that the roster lists as leaving.
     */
    @Test
    void sendsNoNewWorkToAnEngineListedAsLeaving() {
        deployment
                .platform()
                .publish(ReplicationTopic.ROSTER, Map.of("upstreams/engine-dc-a-2", "{\"leaving\":true}"), List.of());
        long version = deployment.platform().version(ReplicationTopic.ROSTER);
        LocalDeployment.await("the roster is in force", () -> deployment.routers().values().stream()
                .allMatch(router -> router.rosterVersion() >= version));
        long before = deployment.engines().get("engine-dc-a-2").runs();
        assertThat(notCompleted(replay(22, 40, 40, 0))).isEmpty();
        assertThat(deployment.engines().get("engine-dc-a-2").runs()).isEqualTo(before);
        deployment.platform().publish(ReplicationTopic.ROSTER, Map.of(), List.of("upstreams/engine-dc-a-2"));
    }

    /**
     * Guards against orders of the operators that do not reach an engine or are reverted by an outdated one: a new
     * revision of the model is published, and an engine that ignores fencing numbers then accepts an outdated order, as
     * from a router that resumes after a long pause.
     */
    @Test
    void bringsAllEnginesToThePublishedRevisionAndBackToIt() {
        deployment
                .platform()
                .publish(
                        ReplicationTopic.CONFIGURATION,
                        Map.of("models/" + DeploymentDocuments.MODEL, DeploymentDocuments.model("r2")),
                        List.of());
        LocalDeployment.await("all engines load the new revision", () -> deployment.engines().values().stream()
                .allMatch(engine -> engine.revision().equals("r2")));
        String old = "{\"model\":\"general\",\"revision\":\"r1\",\"adapters\":[],\"role\":\"mixed\",\"fencing\":1}";
        assertThat(deployment.engines().get("engine-dc-a-1").sendOrder(old)).isFalse();
        assertThat(deployment.engines().get("engine-dc-a-2").sendOrder(old)).isTrue();
        LocalDeployment.await(
                "the engine that ignores fencing is ordered again",
                () -> deployment.engines().get("engine-dc-a-2").revision().equals("r2"));
    }

    /**
     * Guards against a router that starts without cached state while the platform is down or stale, and then refuses
     * all requests or serves an outdated configuration.
     */
    @ParameterizedTest
    @EnumSource(PlatformFault.class)
    void startsFromPeersWhileThePlatformFails(PlatformFault fault) {
        fault.prepare(deployment);
        long version =
                deployment.publishAndAwait("presets/extra-" + fault.name().toLowerCase(Locale.ROOT));
        fault.inject(deployment);
        Router fresh = deployment.startRouter("router-fresh-" + fault.ordinal(), "dc-a");
        LocalDeployment.await("the fresh router serves", fresh::isServing);
        assertThat(fresh.configurationVersion()).isEqualTo(version);
        deployment.platform().setDown(false);
        deployment.platform().serveCurrent();
        deployment.killRouter("router-fresh-" + fault.ordinal());
    }

    /** Kind of platform failure. */
    enum PlatformFault {
        /** Every call fails. */
        DOWN,
        /** An outdated version is served. */
        STALE;

        private void prepare(LocalDeployment deployment) {
            if (this == STALE) {
                deployment.platform().takeSnapshot();
            }
        }

        private void inject(LocalDeployment deployment) {
            if (this == DOWN) {
                deployment.platform().setDown(true);
            } else {
                deployment.platform().serveSnapshot();
            }
        }
    }

    /** Replays the requests of callers whose entry lists expire at different times. */
    private Mono<List<ReplayResult>> laterCallers() {
        return Flux.range(1, LATER_CALLERS)
                .flatMap(number -> Mono.delay(CALLER_OFFSET.multipliedBy(number), Schedulers.boundedElastic())
                        .map(tick -> replay(30 + number, 60, 5, 0)))
                .flatMapIterable(results -> results)
                .collectList();
    }

    /**
     * Guards against truncated, refused or lost requests during a rolling replacement of all routers under load, in
     * which callers have cached entry lists that name stopped hosts.
     */
    @Test
    void replacesEveryRouterUnderLoadWithoutCuttingARequest() {
        Set<String> old = Set.copyOf(deployment.routers().keySet());
        Mono<Void> replacement = Mono.fromRunnable(() -> {
                    for (String name : old) {
                        deployment.startRouter(name + "-new", name.contains("dc-a") ? "dc-a" : "dc-b");
                        deployment.publishRoster();
                        deployment.retireRouter(name);
                    }
                })
                .subscribeOn(Schedulers.boundedElastic())
                .then()
                .cache();
        AtomicBoolean replaced = new AtomicBoolean();
        replacement.doFinally(end -> replaced.set(true)).subscribe();
        Mono<List<ReplayResult>> others = laterCallers().cache();
        others.subscribe(done -> {}, error -> {});
        List<ReplayResult> results = new ArrayList<>(replay(23, 300, 20, 0.1));
        results.addAll(others.block(MAX_WAIT));
        for (long seed = 24; !replaced.get(); seed++) {
            results.addAll(replay(seed, 40, 20, 0));
        }
        replacement.block(MAX_WAIT);
        assertThat(notCompleted(results)).isEmpty();
        assertThat(deployment.routers().keySet()).doesNotContainAnyElementsOf(old);
        assertThat(deployment.ledger().maxRuns()).isLessThanOrEqualTo(1);
    }

    /**
     * Guards against requests that fail, hang or leak engine memory after the router that owned them, but had not
     * accepted them from the caller, was killed under load. The router stays on the roster; requests that it had
     * accepted lose their connection, and all others are retried at the next owner.
     */
    @Test
    void completesRequestsOfOtherEntriesWhenARouterCrashes() {
        String victim = deployment.routers().keySet().iterator().next();
        Mono<Void> killed = Mono.delay(Duration.ofSeconds(1), Schedulers.boundedElastic())
                .doOnNext(tick -> deployment.killRouter(victim))
                .then()
                .cache();
        killed.subscribe(done -> {}, error -> {});
        List<ReplayResult> results = replay(24, 120, 40, 0.1);
        killed.block(MAX_WAIT);
        assertThat(results)
                .allMatch(result -> result.outcome() == ReplayOutcome.COMPLETED
                        || result.code().equals("connection_lost")
                        || result.code().equals("ticket_home_lost"));
        assertThat(deployment.ledger().maxRuns()).isLessThanOrEqualTo(1);
        LocalDeployment.await("no engine holds memory", () -> deployment.heldTokens() == 0);
    }
}
