package org.apricotstack.serving.http;

import java.util.List;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * What a request says to the upstream beside what the caller said.
 *
 * @param upstream the upstream that is meant; another one at its address must refuse
 * @param remainingMillis time that is left, in milliseconds
 * @param account the client account, or {@code null} if the request needs none
 * @param priority rank among the upstream's requests; 0 is the most urgent
 * @param helpers upstreams that help to read the prompt
 * @param lastEventId event after which the stream goes on, or {@code null}
 */
public record ForwardingParameters(
        UpstreamEntry upstream,
        long remainingMillis,
        ClientAccountId account,
        int priority,
        List<Helper> helpers,
        String lastEventId) {

    /** Copies the list. */
    public ForwardingParameters {
        helpers = List.copyOf(helpers);
    }

    /**
     * An upstream that helps to read a prompt.
     *
     * @param upstream the upstream
     * @param reservation names the memory reserved there, or {@code null} if none is
     */
    public record Helper(UpstreamEntry upstream, String reservation) {}
}
