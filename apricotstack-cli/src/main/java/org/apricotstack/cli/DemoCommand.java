package org.apricotstack.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.deployment.Demonstration;

/** Runs a complete deployment in one process and replays a generated trace against it. */
@Parameters(commandDescription = "Runs a whole deployment in one process; exits 0 if all checks passed.")
final class DemoCommand extends Command {

    @Parameter(names = "--deployment", description = "registry or cooperative.")
    private Deployment deployment = Deployment.REGISTRY;

    @Parameter(names = "--requests", description = "Number of requests in the trace.")
    private int requests = 600;

    @Parameter(names = "--per-second", description = "Mean rate of requests.")
    private double perSecond = 30;

    @Parameter(names = "--seed", description = "Seed of the trace.")
    private long seed = 1;

    @Override
    int run() {
        boolean passed = new Demonstration(deployment.shape(), System.out).run(requests, perSecond, seed);
        System.out.println(passed ? "All checks passed." : "Not all checks passed.");
        return passed ? ExitCode.OK : ExitCode.FAILED;
    }
}
