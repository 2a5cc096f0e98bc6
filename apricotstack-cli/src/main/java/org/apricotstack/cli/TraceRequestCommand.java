package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Shows the life of one request from collected logs. */
@Parameters(
        commandDescription = "Prints what happened to one request, with what its router believed meanwhile (marked *)"
                + " and a first guess of the cause; exits 1 if no file knows the request.")
final class TraceRequestCommand extends Command {

    @Parameter(names = "--request", required = true, description = "the request's id")
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
