package org.apricotstack.core.dispatch;

import java.util.List;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ServiceId;

/**
 * What an upstream is to run. The body is the caller's, byte for byte, and is not to be changed.
 *
 * @param account the client account that asked
 * @param service the service that it asked for
 * @param promptTokens estimated length of the prompt, in tokens; 0 for plain services
 * @param outputTokens longest answer asked for, in tokens; 0 for plain services
 * @param prefixFingerprints fingerprints of the leading prompt blocks, shortest prefix first
 * @param body the body
 * @param call how a plain service is to be called; {@code null} for completions
 * @param repeatable whether running it twice is harmless
 * @param configurationVersion version under which it was admitted
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
     * How a plain service is to be called.
     *
     * @param method HTTP method
     * @param path path and query below the service
     * @param headers headers that are passed on
     */
    public record PlainCall(String method, String path, List<Header> headers) {}
}
