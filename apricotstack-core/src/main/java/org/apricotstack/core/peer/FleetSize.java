package org.apricotstack.core.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.id.Address;

/**
 * The number of routers that share what is granted to the fleet as a whole.
 *
 * <p>A router that assumes too few takes more than its share. It therefore takes none until it has learned of the
 * others, and never assumes fewer routers than it once knew, since the missing ones may only be partitioned from it. Of
 * the parts of a fleet that was restarted while it was partitioned, only one can hear all seeds; the others take
 * nothing.
 */
public final class FleetSize {

    /** Time after the start within which a router learns of all that it can reach, in milliseconds. */
    private static final long LEARNING_MILLIS = 3_000;

    /** Time after the start after which a seed without a heartbeat counts as gone, in milliseconds. */
    private static final long SEED_GONE_MILLIS = PeerTable.FORGET_MILLIS;

    private final PeerTable peers;
    private final long startedMillis;
    private final Set<Address> unheardSeeds = new HashSet<>();
    private int most = 1;

    /**
     * Creates the size of a fleet of which nothing is known.
     *
     * @param peers the routers known so far
     * @param nowMillis the time at which this router starts
     */
    public FleetSize(PeerTable peers, long nowMillis) {
        this.peers = peers;
        this.startedMillis = nowMillis;
    }

    /**
     * Adds seeds that have to be heard from.
     *
     * @param seeds addresses of other routers
     */
    public void addSeeds(List<Address> seeds) {
        unheardSeeds.addAll(seeds);
    }

    /**
     * Returns this router's share of an amount that is granted to the fleet.
     *
     * @param amount the amount
     * @param nowMillis the current time
     * @return an equal share; 0 while it is not known how many routers there are
     */
    public double share(double amount, long nowMillis) {
        most = Math.max(most, peers.addresses().size());
        return isKnown(nowMillis) ? amount / most : 0;
    }

    /** Returns whether this router has learned of the others. */
    private boolean isKnown(long nowMillis) {
        long upMillis = nowMillis - startedMillis;
        if (upMillis < LEARNING_MILLIS) {
            return false;
        }
        unheardSeeds.removeIf(peers::hasHeartbeatFrom);
        return unheardSeeds.isEmpty() || upMillis >= SEED_GONE_MILLIS;
    }
}
