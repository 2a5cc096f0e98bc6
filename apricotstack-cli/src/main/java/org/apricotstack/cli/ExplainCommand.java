package org.apricotstack.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Shows what a router would decide for a request. */
@Parameters(commandDescription = "Shows what would be decided for a request, and why, without running it.")
final class ExplainCommand extends AdminCommand {

    @Parameter(names = "--account", required = true, description = "The client account.")
    private String account;

    @Parameter(names = "--service", required = true, description = "The service.")
    private String service;

    @Parameter(names = "--prompt-tokens", description = "Length of the prompt in tokens.")
    private long promptTokens = 1_000;

    @Parameter(names = "--output-tokens", description = "Longest answer in tokens.")
    private long outputTokens = 64;

    @Override
    int run() {
        print(json("/v1/explain?account=" + account + "&service=" + service + "&promptTokens=" + promptTokens
                + "&outputTokens=" + outputTokens));
        return ExitCode.OK;
    }
}
