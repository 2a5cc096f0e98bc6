package org.apricotstack.cli;

import com.beust.jcommander.Parameters;
import io.netty.handler.codec.http.HttpMethod;

/** Starts the graceful stop of a router. */
@Parameters(commandDescription = "Starts a graceful stop; the process ends when nothing is in progress any more.")
final class DrainCommand extends AdminCommand {

    @Override
    int run() {
        call(HttpMethod.POST, "/v1/drain");
        System.out.println("The router is leaving; \"status\" shows what is still in progress.");
        return ExitCode.OK;
    }
}
