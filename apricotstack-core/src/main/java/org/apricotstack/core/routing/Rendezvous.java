package org.apricotstack.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.apricotstack.core.id.HostId;

/**
 * Orders hosts for a key by rendezvous hashing: when a host is removed, only the keys for which it was first move.
 *
 * <p>Also known as highest random weight hashing (Thaler and Ravishankar).
 */
public final class Rendezvous {

    private static final HashFunction HASH = Hashing.murmur3_128(0x5eed);

    private Rendezvous() {}

    /**
     * Orders hosts for a key.
     *
     * @param key the key
     * @param hosts the hosts
     * @return the hosts by descending weight for the key
     */
    public static List<HostId> order(String key, List<HostId> hosts) {
        return hosts.stream()
                .sorted(Comparator.<HostId>comparingLong(host -> -weight(key, host))
                        .thenComparing(host -> host))
                .toList();
    }

    /**
     * Returns the host with the greatest weight for a key.
     *
     * @param key the key
     * @param hosts the hosts
     * @return the host, or {@code null} if there is none
     */
    public static HostId first(String key, List<HostId> hosts) {
        HostId best = null;
        long bestWeight = Long.MIN_VALUE;
        for (HostId host : hosts) {
            long weight = weight(key, host);
            if (best == null || weight > bestWeight) {
                best = host;
                bestWeight = weight;
            }
        }
        return best;
    }

    /**
     * Returns the weight of a host for a key; the host with the greatest weight is first.
     *
     * @param key the key
     * @param host the host
     * @return its weight, never {@link Long#MIN_VALUE}
     */
    public static long weight(String key, HostId host) {
        return HASH.newHasher()
                        .putString(key, StandardCharsets.UTF_8)
                        .putChar('|')
                        .putString(host.value(), StandardCharsets.UTF_8)
                        .hash()
                        .asLong()
                >> 1;
    }
}
