package org.apricotstack.core.routing;

import java.util.List;

import org.apricotstack.core.configuration.Group;

/**
 * Chooses the group that a prefix maps to, unless it is much busier than the least busy group.
 *
 * <p>The prefix is mapped to a group by consistent hashing, so all routers choose the same group for the same prefix
 * without exchanging the contents of KV caches. A popular prefix does not overload its group: if the additional delay
 * exceeds a bound, the request goes to the group with the least expected delay.
 */
public final class PrefixAffinityGroupChooser implements GroupChooser {

    /** Additional delay that affinity may cost for a prompt of any length, in milliseconds. */
    private static final long EXTRA_DELAY_MILLIS = 50;

    /** Additional delay of groups in other data centres, in milliseconds. */
    private static final long REMOTE_DELAY_MILLIS = 2;

    /** Number of prompt tokens whose repeated prefill is worth one millisecond of additional delay. */
    private static final double TOKENS_PER_MILLI = 20;

    private final GroupLoadTable loads;

    /**
     * Creates a chooser.
     *
     * @param loads loads of the groups
     */
    public PrefixAffinityGroupChooser(GroupLoadTable loads) {
        this.loads = loads;
    }

    @Override
    public GroupChoice choose(RoutingRequest request) {
        List<Group> candidates = request.candidates();
        if (candidates.size() == 1) {
            return new GroupChoice(candidates.get(0), GroupChoice.Reason.ONLY_ONE);
        }
        Group least = leastDelay(request);
        Group preferred = request.affinity();
        if (preferred == null || preferred.equals(least)) {
            return new GroupChoice(
                    least, preferred == null ? GroupChoice.Reason.LEAST_DELAY : GroupChoice.Reason.PREFIX);
        }
        double maxExtraMillis = EXTRA_DELAY_MILLIS + request.promptTokens() / TOKENS_PER_MILLI;
        boolean affordable = delay(request, preferred) <= delay(request, least) + maxExtraMillis;
        return affordable
                ? new GroupChoice(preferred, GroupChoice.Reason.PREFIX)
                : new GroupChoice(least, GroupChoice.Reason.LEAST_DELAY);
    }

    /** Finds the group with the least expected delay; the first one wins ties. */
    private Group leastDelay(RoutingRequest request) {
        Group best = null;
        long bestDelay = Long.MAX_VALUE;
        for (Group group : request.candidates()) {
            long delay = delay(request, group);
            if (delay < bestDelay) {
                best = group;
                bestDelay = delay;
            }
        }
        return best;
    }

    /** Returns the expected delay of a group as seen from this router. */
    private long delay(RoutingRequest request, Group group) {
        long distance = group.dataCentre().equals(request.local()) ? 0 : REMOTE_DELAY_MILLIS;
        return loads.expectedDelayMillis(group.id(), request.lengthClass()) + distance;
    }
}
