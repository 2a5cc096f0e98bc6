package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.wire.news.NewsFrame;

/**
 * State of upstreams that routers exchange, other than placements.
 *
 * @param suspects requests under which upstreams crashed
 * @param limits rate limits that upstreams advertised
 * @param drains drains that upstreams announced
 */
record UpstreamGossip(SuspectChannel suspects, LimitChannel limits, DrainChannel drains) {

    /** Returns whether there is any state that the other routers have to learn. */
    boolean hasState() {
        return suspects.hasState() || limits.hasState() || drains.hasState();
    }

    /** Adds all state to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        suspects.addAll(frame);
        limits.addAll(frame);
        drains.addAll(frame);
    }

    /**
     * Applies the state that another router reports.
     *
     * @param frame the state update
     * @param process the router at the other end of a stream, or {@code null} if it is not known
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void receive(NewsFrame frame, ProcessId process, Address sender) {
        suspects.receive(frame, process);
        limits.receive(frame, sender);
        drains.receive(frame, sender);
    }
}
