package org.apricotstack.bench.deployment;

import java.util.List;

import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.bench.engine.EngineSpeed;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a slow distribution of published changes: up to 3.9 s until 64 routers had applied one, although two
 * watchers in each data centre had it within milliseconds.
 *
 * <p>A watcher that has applied a change announces it to its neighbours by a probe, and a neighbour starts to fetch the
 * change while it handles the probe. The RPC library cancels calls that are started within another call as soon as that
 * call ends, so the fetch was cancelled, and only the periodic probes, one per second, distributed the change. In this
 * test the periodic probes are a minute apart.
 */
class EagerSpreadTest {

    private static final Timings RARE_PROBES = new Timings(60_000, 400, 2_000, 500, 25_000, 60_000);
    private static final DeploymentShape SHAPE =
            new DeploymentShape("test", List.of("dc-a", "dc-b"), List.of(1, 1), 0, 8, 2, 0.5);

    @Test
    void distributesAChangeWithoutWaitingForPeriodicProbes() {
        try (LocalDeployment deployment = new LocalDeployment(SHAPE, EngineSpeed.DEFAULT, 1, RARE_PROBES)) {
            for (int i = 0; i < 5; i++) {
                long version = deployment.publishAndAwait("presets/extra-" + i);
                assertThat(deployment.routers().values()).allMatch(router -> router.configurationVersion() >= version);
            }
        }
    }
}
