package org.apricotstack.cli;

import com.beust.jcommander.Parameters;

/** Shows the state of one router. */
@Parameters(commandDescription = "Shows the current version and preset, members, owned groups and queues of a router.")
final class StatusCommand extends AdminCommand {

    @Override
    int run() {
        print(json("/v1/status"));
        return ExitCode.OK;
    }
}
