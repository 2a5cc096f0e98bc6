package org.apricotstack.cli;

import java.nio.file.Path;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.adapters.settings.SettingsReader;
import org.apricotstack.router.Router;
import org.apricotstack.router.RouterRuntime;

/** Runs a router until it is stopped; SIGTERM starts a graceful stop. */
@Parameters(commandDescription = "Runs a router until it is stopped; SIGTERM starts a graceful stop.")
final class RouterCommand extends Command {

    @Parameter(names = "--settings", required = true, description = "File with the settings, JSON with comments.")
    private String settings;

    @Parameter(
            names = "--stop-seconds",
            description = "Maximum time of a graceful stop, after which the process exits anyway.")
    private long stopSeconds = RouterRuntime.DEFAULT_STOP_LIMIT.toSeconds();

    @Override
    int run() {
        RouterRuntime runtime = RouterRuntime.system(Duration.ofSeconds(stopSeconds));
        Router router = new Router(SettingsReader.readFile(Path.of(settings)), runtime);
        router.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "graceful-stop"));
        router.ended().block();
        return ExitCode.OK;
    }

    /** Drains the router, and closes it when it is drained or the time is up. */
    private static void stop(Router router) {
        router.drain();
        router.ended().onErrorComplete().block();
        router.close();
    }
}
