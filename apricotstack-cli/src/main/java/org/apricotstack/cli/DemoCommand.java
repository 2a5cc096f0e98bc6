package org.apricotstack.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.deployment.Demonstration;

/** Runs a whole deployment in one process and replays a generated trace against it. */
@Parameters(commandDescription = "Runs a whole deployment in one process; exits 0 if every stated outcome held.")
final class DemoCommand extends Command {

    @Parameter(names = "--deployment", description = "registry or cooperative.")
    private Deployment deployment = Deployment.REGISTRY;

    @Parameter(names = "--requests", description = "Requests of the trace.")
    private int requests = 600;

    @Parameter(names = "--per-second", description = "Mean rate of requests.")
    private double perSecond = 30;

    @Parameter(names = "--seed", description = "Seed of the trace.")
    private long seed = 1;

    @Override
    int run() {
        boolean held = new Demonstration(deployment.shape(), System.out).run(requests, perSecond, seed);
        System.out.println(held ? "Every stated outcome held." : "Not every stated outcome held.");
        return held ? ExitCode.OK : ExitCode.FAILED;
    }
}
