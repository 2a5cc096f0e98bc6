package org.apricotstack.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.measure.Measurements;

/** Repeats the measurements on which the capacity page is based. */
@Parameters(
        commandDescription =
                "Measures the resource usage of a router and writes CSV files and plots; takes several minutes.")
final class MeasureCommand extends Command {

    @Parameter(names = "--out", description = "Folder for the results.")
    private String out = "docs/measurements";

    @Parameter(
            names = "--only",
            description = "state, control, news, suspects, limits, drains or starts; default: the first three.")
    private String only = "";

    @Parameter(names = "--program", description = "Source folder of the built program that is started.")
    private String folder = "";

    @Parameter(
            names = "--most-routers",
            description = "Largest fleet for \"starts\"; each router uses about 80 MB of memory.")
    private int maxRouters = 40;

    @Override
    int run() {
        Measurements measurements = new Measurements(Path.of(out), System.out);
        if (only.isEmpty() || only.equals("state")) {
            measurements.state();
        }
        if (only.isEmpty() || only.equals("control")) {
            measurements.control();
        }
        if (only.isEmpty() || only.equals("news")) {
            measurements.gossip();
        }
        if (only.equals("suspects")) {
            measurements.suspects();
        }
        if (only.equals("limits")) {
            measurements.limits();
        }
        if (only.equals("drains")) {
            measurements.drains();
        }
        if (only.equals("starts")) {
            DeployedProgram program = new DeployedProgram(Path.of(folder).toAbsolutePath());
            measurements.starts(program::fleet, maxRouters);
        }
        return ExitCode.OK;
    }
}
