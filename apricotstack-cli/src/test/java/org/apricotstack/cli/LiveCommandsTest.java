package org.apricotstack.cli;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.bench.deployment.DeploymentShape;
import org.apricotstack.bench.deployment.LocalDeployment;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.router.Router;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs the admin commands against running routers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LiveCommandsTest {

    private LocalDeployment deployment;

    @BeforeAll
    void start() {
        deployment = new LocalDeployment(
                new DeploymentShape("test", List.of("dc-a"), List.of(1), 1, 2, 2, 0.5), EngineSpeed.DEFAULT, 1);
    }

    @AfterAll
    void stop() {
        deployment.close();
    }

    private String run(String command, String... more) {
        Router router = deployment.routers().values().iterator().next();
        List<String> line = new ArrayList<>(
                List.of(command, "--address", "127.0.0.1:" + router.adminPort(), "--key", LocalDeployment.ADMIN_KEY));
        line.addAll(List.of(more));
        return MainTest.run(line.toArray(String[]::new));
    }

    /**
     * Guards against a wait-in-force that never succeeds although the version is in force everywhere: it blocked on a
     * thread that does not allow blocking calls, and treated the resulting error as a router that does not respond.
     */
    @Test
    void waitsUntilAVersionIsInForce() {
        assertThat(run("wait-in-force", "--version", "1")).startsWith("0 ");
        assertThat(run("wait-in-force", "--version", "999", "--seconds", "1")).startsWith("1 ");
    }

    @Test
    void showsStatusAndFleet() {
        assertThat(run("status")).startsWith("0 ").contains("\"preset\" : \"ordinary\"");
        assertThat(run("fleet")).startsWith("0 ").contains("router-dc-a-1").contains("router-dc-a-2");
    }

    @Test
    void explainsADecision() {
        assertThat(run("explain", "--account", "account-1", "--service", "short-answer"))
                .startsWith("0 ")
                .contains("\"decision\" : \"dispatch\"");
        assertThat(run("explain", "--account", "nobody", "--service", "short-answer"))
                .contains("\"code\" : \"unauthenticated\"");
    }
}
