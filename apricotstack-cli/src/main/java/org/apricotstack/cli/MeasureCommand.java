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

    @Parameter(names = "--only", description = "state, control or news; all if left out.")
    private String only = "";

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
        return ExitCode.OK;
    }
}
