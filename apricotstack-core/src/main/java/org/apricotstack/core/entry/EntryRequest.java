package org.apricotstack.core.entry;

import java.util.List;

import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.dispatch.Work.PlainCall;

/**
 * A request of a caller, parsed but not yet checked.
 *
 * @param keyDigest SHA-256 of the caller's key, lower-case hexadecimal; {@code null} without credentials
 * @param kind the kind of service that the caller addressed
 * @param service the name of the service
 * @param promptTokens estimated length of the prompt, in tokens; 0 for plain services
 * @param outputTokens requested maximum length of the answer, in tokens; 0 for plain services
 * @param prefixFingerprints fingerprints of the leading prompt blocks
 * @param body the body
 * @param call the call to a plain service; {@code null} for completions
 * @param timeLimitText the time limit as the caller sent it, in milliseconds; {@code null} for the default of the
 *     service
 * @param ticketText the ticket; {@code null} without one
 */
public record EntryRequest(
        String keyDigest,
        ServiceKind kind,
        String service,
        long promptTokens,
        long outputTokens,
        List<Long> prefixFingerprints,
        byte[] body,
        PlainCall call,
        String timeLimitText,
        String ticketText) {}
