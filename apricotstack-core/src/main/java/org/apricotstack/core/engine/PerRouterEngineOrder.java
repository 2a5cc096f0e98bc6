package org.apricotstack.core.engine;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.apricotstack.core.id.ProcessId;

/**
 * An order of the engines that is specific to one router process.
 *
 * <p>All routers fill engines in one shared order, which works because each of them knows what the others placed.
 * Routers that start at the same time do not know this for a while. They would all begin with the same engines, which
 * would reject some of the prompts and answer the others late. With an order for each process they spread over all
 * engines.
 */
public final class PerRouterEngineOrder {

    private static final HashFunction HASH = Hashing.murmur3_128(0x0de2);

    private PerRouterEngineOrder() {}

    /**
     * Orders engines for a router process that does not know the placements of other routers.
     *
     * @param process the router process
     * @param candidates the engines
     * @return the same engines in an order that depends on the process
     */
    public static List<EngineCandidate> of(ProcessId process, List<EngineCandidate> candidates) {
        return candidates.stream()
                .sorted(Comparator.comparingLong(candidate -> weight(process, candidate)))
                .toList();
    }

    /** Returns the weight of an engine for a process. */
    private static long weight(ProcessId process, EngineCandidate candidate) {
        return HASH.newHasher()
                .putString(process.toString(), StandardCharsets.UTF_8)
                .putChar('|')
                .putString(candidate.engine().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
