package org.apricotstack.serving.relay;

import org.apricotstack.core.id.Address;

/** Receives the changes of this router's links to upstreams; called on the event loop. */
public interface LinkListener {

    /**
     * Called when a link is lost.
     *
     * @param upstream the upstream that only another router reaches
     * @param relay that router
     * @param silent whether connections time out instead of being refused
     */
    void lost(Address upstream, Address relay, boolean silent);

    /**
     * Called when neither this router nor another one reaches an upstream.
     *
     * @param upstream the upstream
     */
    void unreachable(Address upstream);

    /**
     * Called when this router reaches an upstream again.
     *
     * @param upstream the upstream
     */
    void restored(Address upstream);
}
