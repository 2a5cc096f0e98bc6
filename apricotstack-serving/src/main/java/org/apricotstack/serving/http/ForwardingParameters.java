package org.apricotstack.serving.http;

import java.util.List;

import org.apricotstack.core.id.AccountName;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * Parameters that are sent to an upstream in addition to the caller's request.
 *
 * @param upstream the intended upstream; another instance at its address must reject the request
 * @param remainingMillis time until the deadline, in milliseconds
 * @param account the client account, or {@code null} if none is required
 * @param priority priority at the upstream; 0 is the most urgent
 * @param helpers engines that prefill parts of the prompt
 * @param lastEventId id of the event after which the stream resumes, or {@code null}
 */
public record ForwardingParameters(
        UpstreamEntry upstream,
        long remainingMillis,
        AccountName account,
        int priority,
        List<Helper> helpers,
        String lastEventId) {

    /** Copies the list of helpers. */
    public ForwardingParameters {
        helpers = List.copyOf(helpers);
    }

    /**
     * An engine that prefills a part of a prompt.
     *
     * @param upstream the engine
     * @param reservation name of the memory reservation there, or {@code null} if there is none
     */
    public record Helper(UpstreamEntry upstream, String reservation) {}
}
