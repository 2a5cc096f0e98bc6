package org.apricotstack.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.experiment.Policy;
import org.apricotstack.bench.experiment.PolicyExperiment;

/** Compares the queue policies of one group in virtual time. */
@Parameters(commandDescription = "Compares queue policies on the same trace in virtual time; prints a table.")
final class ExperimentCommand extends Command {

    @Parameter(names = "--policy", description = "Policies to compare, A,B,…")
    private List<Policy> policies = List.of(Policy.values());

    @Parameter(names = "--seed", description = "Seed of the trace.")
    private long seed = 1;

    @Parameter(names = "--load", description = "Share of the measured capacity.")
    private double load = 0.8;

    @Parameter(names = "--limit-seconds", description = "Time limit of each request.")
    private long limitSeconds = 60;

    @Override
    int run() {
        System.out.println(new PolicyExperiment(seed, load, limitSeconds * 1_000).run(policies));
        return ExitCode.OK;
    }
}
