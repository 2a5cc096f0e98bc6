package org.apricotstack.core.configuration;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Published facts about one upstream.
 *
 * @param id the name
 * @param group the group that it belongs to
 * @param address where it listens
 * @param memoryTokens KV memory in tokens; 0 for plain services
 * @param maxStreams requests that it runs at once
 * @param checksOrders whether it checks who gives it an order
 * @param refusesOldFencing whether it refuses an order with an older fencing number than it has seen
 * @param role the role that it is ordered to play, such as {@code mixed}; empty for plain services
 */
public record Upstream(
        UpstreamId id,
        GroupId group,
        Address address,
        long memoryTokens,
        int maxStreams,
        boolean checksOrders,
        boolean refusesOldFencing,
        String role) {}
