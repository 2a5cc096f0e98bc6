package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Reports the lost value of answers by prompt length and cause, from collected logs. */
@Parameters(
        commandDescription = "Prints the lost value of answers by prompt length and cause, largest loss"
                + " first, from the logs of all routers; exits 1 if no file has a request.")
final class LostValueCommand extends Command {

    @Parameter(required = true, description = "FILE...")
    private List<String> files;

    @Override
    int run() {
        LostValueReport lost = LostValueReport.read(files.stream().map(Path::of).toList());
        if (lost.isEmpty()) {
            System.err.println("No file has a request; collect the logs of the active routers.");
            return ExitCode.FAILED;
        }
        System.out.print(lost.describe());
        return ExitCode.OK;
    }
}
