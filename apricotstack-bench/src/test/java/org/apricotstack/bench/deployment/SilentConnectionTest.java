package org.apricotstack.bench.deployment;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.replay.Replay;
import org.apricotstack.bench.replay.ReplayCaller;
import org.apricotstack.bench.replay.ReplayOutcome;
import org.apricotstack.bench.replay.ReplayResult;
import org.apricotstack.bench.trace.TraceGenerator;
import org.apricotstack.bench.trace.TraceOptions;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.router.Router;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Symptom: requests hang until their time limit although every process is well.
 *
 * <p>Sequence of events: something between two routers loses track of their open connections; nothing arrives any
 * more and nothing is closed; new connections work.
 *
 * <p>Cause to be excluded: waiting for the transport to report what it cannot see.
 */
class SilentConnectionTest {

    /** All engines stand in the far data centre, so that each prompt has to go over the connection that is silenced. */
    private static final DeploymentShape SHAPE =
            new DeploymentShape("test", List.of("dc-a", "dc-b"), List.of(0, 4), 1, 1, 4, 0.5);

    private static final EngineSpeed SPEED = new EngineSpeed(400_000, 4_096, 2_000, 5, 60);

    /**
     * Quick times but for probes, of which none comes while the test lasts. A probe finds the silence too, within
     * 0.4 s: then the near router takes the far one's group over and no prompt crosses the connection any more.
     */
    private static final RouterSettings.Timings NO_PROBES =
            new RouterSettings.Timings(600_000, 200, 600, 500, 5_000, 1_000);

    /**
     * Time between heartbeats of an attempt. After three of them without a word its connection counts as silent; a busy
     * machine must not make a sound one look so before the connection is silenced.
     */
    private static final long HEARTBEAT_MILLIS = 1_000;

    @Test
    void repeatsOverANewConnectionWhenTheOpenOneGoesSilent() {
        try (LocalDeployment deployment = new LocalDeployment(SHAPE, SPEED, 1, NO_PROBES)) {
            publishHeartbeats(deployment);
            Router far = deployment.routers().get("router-dc-b-1");
            try (TcpRelay relay = new TcpRelay(new Address("127.0.0.1", far.peerPort()))) {
                deployment.publishRoster(Map.of("router-dc-b-1", relay.address()));
                long version = deployment.platform().version(ReplicationTopic.ROSTER);
                LocalDeployment.await("the roster is in force", () -> deployment.routers().values().stream()
                        .allMatch(router -> router.rosterVersion() >= version));
                Router near = deployment.routers().get("router-dc-a-1");
                List<Address> entry = List.of(new Address("127.0.0.1", near.callerPort()));
                assertThat(replay(entry, 1)).allMatch(result -> result.outcome() == ReplayOutcome.COMPLETED);
                assertThat(relay.silenceOpenConnections()).isPositive();
                assertThat(replay(entry, 2)).allMatch(result -> result.outcome() == ReplayOutcome.COMPLETED);
                assertThat(near.metrics()
                                .registry()
                                .counter("entry.retries.owner_lost")
                                .getCount())
                        .isPositive();
                assertThat(relay.soundConnections()).isPositive();
            }
            LocalDeployment.await("no engine holds memory", () -> deployment.heldTokens() == 0);
        }
    }

    private static void publishHeartbeats(LocalDeployment deployment) {
        Map<String, String> limits = Map.of(DeploymentDocuments.LIMITS, DeploymentDocuments.limits(HEARTBEAT_MILLIS));
        long version = deployment.platform().publish(ReplicationTopic.CONFIGURATION, limits, List.of());
        LocalDeployment.await("the limits are in force", () -> deployment.routers().values().stream()
                .allMatch(router -> router.configurationVersion() >= version));
    }

    private static List<ReplayResult> replay(List<Address> entries, long seed) {
        TraceOptions options =
                new TraceOptions(seed, 40, 40, 0, 100_001, 0.3, 0, SHAPE.accountNames(), DeploymentDocuments.SERVICES);
        try (ReplayCaller caller = new ReplayCaller(entries, Duration.ofSeconds(40))) {
            return Replay.run(TraceGenerator.generate(options), caller, 1, result -> {});
        }
    }
}
