package org.apricotstack.cli;

import com.beust.jcommander.Parameters;
import io.netty.handler.codec.http.HttpMethod;

/** Starts draining a router. */
@Parameters(commandDescription = "Starts a graceful stop; the process exits when no request is in progress.")
final class DrainCommand extends AdminCommand {

    @Override
    int run() {
        call(HttpMethod.POST, "/v1/drain");
        System.out.println("The router is draining; \"status\" shows what is still in progress.");
        return ExitCode.OK;
    }
}
