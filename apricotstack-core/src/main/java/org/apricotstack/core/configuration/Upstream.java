package org.apricotstack.core.configuration;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The published description of an upstream.
 *
 * @param id its id
 * @param group the group that it belongs to
 * @param address the address it listens on
 * @param memoryTokens KV memory in tokens; 0 for plain services
 * @param maxStreams maximum number of requests that it runs concurrently
 * @param checksOrders whether it verifies the sender of orders
 * @param refusesOldFencing whether it refuses an order with a lower fencing token than it has seen
 * @param role the role that it is ordered to take, such as {@code mixed}; empty for plain services
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
