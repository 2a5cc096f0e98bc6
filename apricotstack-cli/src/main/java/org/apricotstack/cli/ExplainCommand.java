package org.apricotstack.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** Shows the routing decision for a request without sending it. */
@Parameters(commandDescription = "Shows the routing decision for a request, and the reasons, without running it.")
final class ExplainCommand extends AdminCommand {

    @Parameter(names = "--account", required = true, description = "The client account.")
    private String account;

    @Parameter(names = "--service", required = true, description = "The service.")
    private String service;

    @Parameter(names = "--prompt-tokens", description = "Length of the prompt in tokens.")
    private long promptTokens = 1_000;

    @Parameter(names = "--output-tokens", description = "Maximum length of the answer in tokens.")
    private long outputTokens = 64;

    @Override
    int run() {
        print(json("/v1/explain?account=" + account + "&service=" + service + "&promptTokens=" + promptTokens
                + "&outputTokens=" + outputTokens));
        return ExitCode.OK;
    }
}
