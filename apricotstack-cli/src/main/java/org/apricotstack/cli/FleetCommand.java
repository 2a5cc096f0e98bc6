package org.apricotstack.cli;

import com.beust.jcommander.Parameters;

/** Shows the state of all routers, as one of them gathers it. */
@Parameters(commandDescription = "Shows the state of all routers on the roster, and which were not heard from.")
final class FleetCommand extends AdminCommand {

    @Override
    int run() {
        print(json("/v1/fleet"));
        return ExitCode.OK;
    }
}
