package org.apricotstack.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import com.google.common.hash.Hashing;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.configuration.Group;
import org.apricotstack.core.configuration.Service;
import org.apricotstack.core.id.DataCentreId;

/**
 * Samples the groups that are compared for one request, so that the cost of a choice does not grow with the fleet.
 *
 * <p>A small number of groups is compared completely. Of a larger number, the sample contains the group that the prefix
 * maps to, some groups of this router's data centre, and one group of any data centre. Comparing a few random groups is
 * enough to balance the load (the power of two choices); if all groups were compared, all routers would choose the same
 * least busy group at the same time.
 */
public final class GroupSampler {

    /** Maximum number of groups that are all compared. */
    static final int MAX_COMPARED_ALL = 8;

    /** Number of leading prompt blocks that determine the group of a prefix. */
    static final int AFFINITY_BLOCKS = 4;

    private static final int LOCAL_SAMPLES = 3;

    private final DataCentreId local;
    private final LongSupplier random;

    /**
     * Creates a sampler.
     *
     * @param local data centre of this router
     * @param random source of random numbers
     */
    public GroupSampler(DataCentreId local, LongSupplier random) {
        this.local = local;
        this.random = random;
    }

    /**
     * Samples the groups to compare.
     *
     * @param configuration the configuration
     * @param service the requested service
     * @param fingerprints fingerprints of the leading prompt blocks
     * @param usable tells which groups may be chosen
     * @return the groups and the group that the prefix maps to
     */
    public Sample sample(
            FleetConfiguration configuration, Service service, List<Long> fingerprints, Predicate<Group> usable) {
        List<Group> all = configuration.groups(service);
        Group affinity = affinity(all, fingerprints);
        if (affinity != null && !usable.test(affinity)) {
            affinity = null;
        }
        if (all.size() <= MAX_COMPARED_ALL) {
            return new Sample(all.stream().filter(usable).toList(), affinity);
        }
        Set<Group> sampled = new LinkedHashSet<>();
        if (affinity != null) {
            sampled.add(affinity);
        }
        List<Group> localGroups = configuration.groups(service, local);
        for (int i = 0; i < LOCAL_SAMPLES && !localGroups.isEmpty(); i++) {
            sampled.add(randomOf(localGroups));
        }
        sampled.add(randomOf(all));
        sampled.removeIf(usable.negate());
        if (sampled.isEmpty()) {
            return new Sample(all.stream().filter(usable).toList(), null);
        }
        return new Sample(new ArrayList<>(sampled), affinity);
    }

    /** Returns a random group. */
    private Group randomOf(List<Group> groups) {
        return groups.get((int) Math.floorMod(random.getAsLong(), (long) groups.size()));
    }

    /** Maps the leading blocks to a group, or returns {@code null} without fingerprints. */
    private static Group affinity(List<Group> all, List<Long> fingerprints) {
        if (fingerprints.isEmpty() || all.isEmpty()) {
            return null;
        }
        long key = fingerprints.get(Math.min(AFFINITY_BLOCKS, fingerprints.size()) - 1);
        return all.get(Hashing.consistentHash(key, all.size()));
    }

    /**
     * The groups to compare.
     *
     * @param groups the groups, empty if none may be chosen
     * @param affinity the one of them that the prefix maps to, or {@code null}
     */
    public record Sample(List<Group> groups, Group affinity) {}
}
