package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Shows where the value of answers was lost, from collected logs. */
@Parameters(
        commandDescription =
                "Prints where the value of answers was lost, by length of the prompt and cause, the dearest"
                        + " first, from the logs of all routers; exits 1 if no file has a request.")
final class LostWorthCommand extends Command {

    @Parameter(required = true, description = "FILE...")
    private List<String> files;

    @Override
    int run() {
        LostWorth lost = LostWorth.read(files.stream().map(Path::of).toList());
        if (lost.isEmpty()) {
            System.err.println("No file has a request; collect the logs of the routers that took callers.");
            return ExitCode.FAILED;
        }
        System.out.print(lost.describe());
        return ExitCode.OK;
    }
}
