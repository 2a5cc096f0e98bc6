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
 * Guards against requests that hang until their time limit although all processes are healthy. A middlebox between two
 * routers loses the state of their open connections: packets are dropped and nothing is closed, but new connections
 * work. The transport does not detect this, so the routers must not rely on it.
 */
class SilentConnectionTest {

    /** All engines are in the remote data centre, so that every prompt crosses the silenced connection. */
    private static final DeploymentShape SHAPE =
            new DeploymentShape("test", List.of("dc-a", "dc-b"), List.of(0, 4), 1, 1, 4, 0.5);

    private static final EngineSpeed SPEED = new EngineSpeed(400_000, 4_096, 2_000, 5, 60);

    /**
     * Short timeouts, but no probes during the test. A probe would detect the silent connection within 0.4 s; the local
     * router would then take over the group of the remote one, and no prompt would cross the connection.
     */
    private static final RouterSettings.Timings NO_PROBES =
            new RouterSettings.Timings(600_000, 200, 600, 500, 5_000, 1_000);

    /**
     * Time between heartbeats of an attempt. A connection counts as silent after three missed heartbeats; the interval
     * is long enough that a healthy connection is not classified as silent on a busy machine.
     */
    private static final long HEARTBEAT_MILLIS = 1_000;

    @Test
    void retriesOverANewConnectionWhenTheOpenOneGoesSilent() {
        try (LocalDeployment deployment = new LocalDeployment(SHAPE, SPEED, 1, NO_PROBES)) {
            publishHeartbeats(deployment);
            Router remote = deployment.routers().get("router-dc-b-1");
            try (TcpRelay relay = new TcpRelay(new Address("127.0.0.1", remote.peerPort()))) {
                deployment.publishRoster(Map.of("router-dc-b-1", relay.address()));
                long version = deployment.platform().version(ReplicationTopic.ROSTER);
                LocalDeployment.await("the roster is in force", () -> deployment.routers().values().stream()
                        .allMatch(router -> router.rosterVersion() >= version));
                Router local = deployment.routers().get("router-dc-a-1");
                List<Address> entry = List.of(new Address("127.0.0.1", local.callerPort()));
                assertThat(replay(entry, 1)).allMatch(result -> result.outcome() == ReplayOutcome.COMPLETED);
                assertThat(relay.silenceOpenConnections()).isPositive();
                assertThat(replay(entry, 2)).allMatch(result -> result.outcome() == ReplayOutcome.COMPLETED);
                assertThat(local.metrics()
                                .registry()
                                .counter("entry.retries.owner_lost")
                                .getCount())
                        .isPositive();
                assertThat(relay.activeConnections()).isPositive();
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
