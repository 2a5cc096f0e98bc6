package org.apricotstack.core.engine;

import org.apricotstack.core.id.ProcessId;

/**
 * Identifies one placement of a request on engines; unique across all routers.
 *
 * @param process the router process that made the placement
 * @param number sequence number of that process
 */
public record PlacementId(ProcessId process, long number) {

    @Override
    public boolean equals(Object other) {
        return other instanceof PlacementId that && number == that.number && process.equals(that.process);
    }

    @Override
    public int hashCode() {
        return process.hashCode() ^ Long.hashCode(number);
    }

    @Override
    public String toString() {
        return process + "#" + number;
    }
}
