package org.apricotstack.cli;

import com.beust.jcommander.Parameters;

/** Shows the state of all routers, as collected by one of them. */
@Parameters(commandDescription = "Shows the state of all routers on the roster, and those from which no response came.")
final class FleetCommand extends AdminCommand {

    @Override
    int run() {
        print(json("/v1/fleet"));
        return ExitCode.OK;
    }
}
