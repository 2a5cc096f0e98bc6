package org.apricotstack.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.measure.Measurements;

/** Makes the slopes behind the page on capacity afresh. */
@Parameters(commandDescription = "Measures what a router costs and writes CSV files and plots; takes some minutes.")
final class MeasureCommand extends Command {

    @Parameter(names = "--out", description = "Folder for the results.")
    private String out = "docs/measurements";

    @Parameter(
            names = "--only",
            description = "state, control, news, suspects, limits, drains or starts; the first three if left out.")
    private String only = "";

    @Parameter(names = "--program", description = "Folder of the sources whose built program is started.")
    private String folder = "";

    @Parameter(names = "--most-routers", description = "Largest fleet of starts; a router takes some 80 MB.")
    private int mostRouters = 40;

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
            measurements.news();
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
            measurements.starts(program::fleet, mostRouters);
        }
        return ExitCode.OK;
    }
}
