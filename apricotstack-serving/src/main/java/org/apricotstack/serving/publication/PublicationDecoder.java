package org.apricotstack.serving.publication;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.UpstreamEntry;

/** Decodes published documents. */
public interface PublicationDecoder {

    /**
     * Decodes a configuration.
     *
     * @param document the document
     * @return the configuration
     * @throws ApricotException if it cannot be used
     */
    ServingConfiguration configuration(Publication document);

    /**
     * Decodes an upstream.
     *
     * @param document the document
     * @return the upstream
     * @throws ApricotException if it cannot be used
     */
    UpstreamEntry upstream(Publication document);
}
