package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Prints the trace of one request from collected logs. */
@Parameters(
        commandDescription =
                "Prints the log lines of one request, with changes to the state of its upstreams (marked *)"
                        + " and the likely cause; exits 1 if no file contains the request.")
final class TraceRequestCommand extends Command {

    @Parameter(names = "--request", required = true, description = "The id of the request.")
    private String request;

    @Parameter(required = true, description = "FILE...")
    private List<String> files;

    @Override
    int run() {
        RequestTrace trace =
                RequestTrace.read(request, files.stream().map(Path::of).toList());
        if (trace.isEmpty()) {
            System.err.println("No file knows " + request + "; collect the logs of all hosts of that time.");
            return ExitCode.FAILED;
        }
        System.out.print(trace.describe());
        return ExitCode.OK;
    }
}
