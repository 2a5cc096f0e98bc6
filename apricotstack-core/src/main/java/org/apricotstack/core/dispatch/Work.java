package org.apricotstack.core.dispatch;

import java.util.List;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ServiceId;

/**
 * The work that an upstream runs. The body is the caller's, byte for byte, and must not be changed.
 *
 * @param account the client account that sent the request
 * @param service the requested service
 * @param promptTokens estimated length of the prompt, in tokens; 0 for plain services
 * @param outputTokens maximum length of the answer, in tokens; 0 for plain services
 * @param prefixFingerprints fingerprints of the leading prompt blocks, shortest prefix first
 * @param body the body
 * @param call the call to a plain service; {@code null} for completions
 * @param repeatable whether running it twice is harmless
 * @param configurationVersion configuration version under which it was admitted
 */
public record Work(
        ClientAccountId account,
        ServiceId service,
        long promptTokens,
        long outputTokens,
        List<Long> prefixFingerprints,
        byte[] body,
        PlainCall call,
        boolean repeatable,
        long configurationVersion) {

    /**
     * A call to a plain service.
     *
     * @param method HTTP method
     * @param path path and query below the service
     * @param headers headers that are passed on
     */
    public record PlainCall(String method, String path, List<Header> headers) {}
}
