package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Reports how the stops of routers ended, from collected logs. */
@Parameters(
        commandDescription = "Prints how the stops of routers ended and which requests they cut and rejected, from the"
                + " logs of all routers; exits 1 if a stop was killed or cut a request, or no file has a stop.")
final class StopReportCommand extends Command {

    @Parameter(required = true, description = "FILE...")
    private List<String> files;

    @Override
    int run() {
        StopReport report = StopReport.read(files.stream().map(Path::of).toList());
        if (report.isEmpty()) {
            System.err.println("No file has a stop; collect the logs of the stopped routers.");
            return ExitCode.FAILED;
        }
        System.out.print(report.describe());
        return report.hasFailures() ? ExitCode.FAILED : ExitCode.OK;
    }
}
