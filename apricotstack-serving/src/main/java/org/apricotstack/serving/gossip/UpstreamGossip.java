package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.wire.news.NewsFrame;

/**
 * What routers tell each other of upstreams beside placements.
 *
 * @param suspects requests under which upstreams ended
 * @param limits rate limits that upstreams named
 * @param drains drains that upstreams announced
 */
record UpstreamGossip(SuspectChannel suspects, LimitChannel limits, DrainChannel drains) {

    /** Tells whether anything is known of which the other routers have to hear. */
    boolean any() {
        return suspects.any() || limits.any() || drains.any();
    }

    /** Adds all that is known to a frame for a router that missed news. */
    void addAll(NewsFrame.Builder frame) {
        suspects.addAll(frame);
        limits.addAll(frame);
        drains.addAll(frame);
    }

    /**
     * Takes in what another router tells.
     *
     * @param frame the news
     * @param process the router at the other end of a stream, or {@code null} if it is not known
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void take(NewsFrame frame, ProcessId process, Address sender) {
        suspects.take(frame, process);
        limits.take(frame, sender);
        drains.take(frame, sender);
    }
}
