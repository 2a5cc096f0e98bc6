package org.apricotstack.core.entry;

import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;

/** Port: dispatches attempts to the owner of a group, in this process or another. */
public interface AttemptDispatcher {

    /**
     * Dispatches an attempt to its owner.
     *
     * @param owner the router that owns the group
     * @param command the attempt
     * @return its events; an error of another type than {@link org.apricotstack.core.failure.RefusedException} means
     *     that the connection was lost, possibly after the owner accepted the attempt
     */
    Flux<AttemptEvent> dispatch(HostId owner, DispatchCommand command);

    /**
     * Closes the connection to a router that went silent, so that the next attempt uses a new one. A connection that
     * was opened after the silent attempt was sent is kept, because other attempts already use it.
     *
     * @param owner the router
     * @param sentNanos when the silent attempt was sent, on the local clock
     */
    void replaceConnection(HostId owner, long sentNanos);
}
