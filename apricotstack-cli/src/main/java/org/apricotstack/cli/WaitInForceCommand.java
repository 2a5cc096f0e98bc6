package org.apricotstack.cli;

import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Waits until all responding routers have applied a version of the configuration. */
@Parameters(commandDescription = "Waits until a version is in force everywhere; exits 1 on timeout.")
final class WaitInForceCommand extends AdminCommand {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    @Parameter(names = "--version", required = true, description = "The version to wait for.")
    private long version;

    @Parameter(names = "--seconds", description = "Maximum wait.")
    private long seconds = 30;

    @Override
    int run() {
        Boolean reached = Flux.interval(Duration.ZERO, POLL_INTERVAL)
                .onBackpressureDrop()
                .concatMap(tick ->
                        Mono.fromCallable(() -> isInForce(json("/v1/fleet"))).subscribeOn(Schedulers.boundedElastic()))
                .any(inForce -> inForce)
                .timeout(Duration.ofSeconds(seconds), Mono.just(false))
                .block();
        System.out.println(
                Boolean.TRUE.equals(reached)
                        ? "Version " + version + " is in force on all responding routers."
                        : "Version " + version + " is not in force everywhere; \"fleet\" shows where it is missing.");
        return Boolean.TRUE.equals(reached) ? ExitCode.OK : ExitCode.FAILED;
    }

    /** Returns whether all responding routers have reached the version. */
    private boolean isInForce(JsonNode fleet) {
        for (JsonNode host : fleet.path("hosts")) {
            boolean responded = !host.path("notHeardFrom").asBoolean(false);
            if (responded && host.path("configuration").path("version").asLong() < version) {
                return false;
            }
        }
        return !fleet.path("hosts").isEmpty();
    }
}
