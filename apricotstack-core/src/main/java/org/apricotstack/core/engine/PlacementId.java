package org.apricotstack.core.engine;

import org.apricotstack.core.id.ProcessId;

/**
 * Names one placement of a request on engines; unique over all routers.
 *
 * @param process the router process that decided it
 * @param number counted up by that process
 */
public record PlacementId(ProcessId process, long number) {

    @Override
    public String toString() {
        return process + "#" + number;
    }
}
