package org.apricotstack.serving.publication;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * Decodes documents, and rejects a document for whatever its decoder throws.
 *
 * <p>Errors are included: a document that overflows the stack or that is too large for the heap fails again at each
 * read, and the memory that its decoding used is free again once it has failed.
 */
final class RejectingDecoder implements PublicationDecoder {

    private final PublicationDecoder decoder;

    /** Wraps a decoder. */
    RejectingDecoder(PublicationDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public ServingConfiguration configuration(Publication document) {
        try {
            return decoder.configuration(document);
        } catch (RuntimeException | Error e) {
            throw rejection(e);
        }
    }

    @Override
    public UpstreamEntry upstream(Publication document) {
        try {
            return decoder.upstream(document);
        } catch (RuntimeException | Error e) {
            throw rejection(e);
        }
    }

    /** Returns the exception that rejects the document. */
    private static ApricotException rejection(Throwable failure) {
        if (failure instanceof ApricotException rejection) {
            return rejection;
        }
        return new ApricotException(
                ErrorCode.PLATFORM_PROTOCOL, "The document cannot be decoded; replace it: " + failure, failure);
    }
}
