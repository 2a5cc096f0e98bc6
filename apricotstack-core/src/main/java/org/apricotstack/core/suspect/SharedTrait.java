package org.apricotstack.core.suspect;

import org.apricotstack.core.id.ServiceId;

/**
 * A trait that many requests of one service have, most of which crash no upstream.
 *
 * <p>Another property that requests share, such as the client account or the model, would be another record here. It is
 * suspected once {@code SuspectTracker} adds it to the traits of a request and the protocol between routers carries it.
 */
public sealed interface SharedTrait extends RequestTrait permits PromptPart {

    /**
     * Returns the service whose upstreams run the requests; a trait says nothing about other services.
     *
     * @return the service
     */
    ServiceId service();
}
