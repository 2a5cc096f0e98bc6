package org.apricotstack.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.deployment.DeploymentDocuments;
import org.apricotstack.bench.trace.TraceFiles;
import org.apricotstack.bench.trace.TraceGenerator;
import org.apricotstack.bench.trace.TraceOptions;

/** Writes a generated trace. */
@Parameters(commandDescription = "Writes a generated trace; equal options give equal traces.")
final class GenerateTraceCommand extends Command {

    @Parameter(names = "--out", required = true, description = "File to write.")
    private String out;

    @Parameter(
            names = "--deployment",
            description = "Deployment whose client accounts send the requests: registry or cooperative.")
    private Deployment deployment = Deployment.REGISTRY;

    @Parameter(names = "--seed", description = "Seed of the trace.")
    private long seed = 1;

    @Parameter(names = "--requests", description = "Number of requests.")
    private int requests = 600;

    @Parameter(names = "--per-second", description = "Mean rate of requests.")
    private double perSecond = 30;

    @Parameter(names = "--long-share", description = "Share of prompts over 100,000 tokens.")
    private double longShare = 0.02;

    @Parameter(names = "--most-tokens", description = "Length of the longest prompts.")
    private long maxTokens = 1_000_000;

    @Parameter(names = "--shared-share", description = "Share of prompts with a prefix shared with other prompts.")
    private double sharedShare = 0.3;

    @Parameter(names = "--plain-share", description = "Share of non-idempotent calls to a plain service.")
    private double plainShare = 0.05;

    @Override
    int run() {
        TraceOptions options = new TraceOptions(
                seed,
                requests,
                perSecond,
                longShare,
                maxTokens,
                sharedShare,
                plainShare,
                deployment.shape().accountNames(),
                DeploymentDocuments.SERVICES);
        TraceFiles.write(Path.of(out), TraceGenerator.generate(options));
        System.out.println("Wrote " + requests + " requests to " + out + ".");
        return ExitCode.OK;
    }
}
