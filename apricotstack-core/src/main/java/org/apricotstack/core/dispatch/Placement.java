package org.apricotstack.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.UpstreamId;

/**
 * Finds the upstreams for one attempt: one with room, or several of the group at once for a prompt beyond the
 * memory of one engine.
 *
 * <p>All engines of an attempt are taken in one step by the one owner of the group. No attempt holds some engines
 * while it waits for others, so there is no deadlock. An attempt that came first in the queue and found no room
 * <em>claims</em> the engines with the most room: later long prompts are kept off them until it starts, so it
 * cannot starve.
 */
final class Placement {

    /** Prefill tokens that an engine is given ahead, so that it never idles and the queue still decides. */
    private static final long WINDOW_TOKENS = 8_192;

    private final Collection<UpstreamSlot> slots;
    private final SchedulerOptions options;
    private final long nowMillis;
    private final boolean shortsWait;
    private final Set<UpstreamId> claimed = new HashSet<>();

    /** Starts one round of placements. */
    Placement(Collection<UpstreamSlot> slots, SchedulerOptions options, long nowMillis, boolean shortsWait) {
        this.slots = slots;
        this.options = options;
        this.nowMillis = nowMillis;
        this.shortsWait = shortsWait;
    }

    /** Finds upstreams for an attempt; empty if it has to wait. */
    List<UpstreamSlot> find(QueuedAttempt item) {
        int engines = enginesNeeded(item);
        if (engines == 0) {
            return List.of();
        }
        long share = ceilDiv(item.memoryTokens(), engines);
        List<UpstreamSlot> fitting = new ArrayList<>();
        for (UpstreamSlot slot : slots) {
            if (fits(slot, item, share)) {
                fitting.add(slot);
            }
        }
        if (fitting.size() < engines) {
            claim(item, engines, share);
            return List.of();
        }
        fitting.sort(Comparator.comparingDouble(slot -> options.chooser().rate(slot, item)));
        return fitting.subList(0, engines);
    }

    /**
     * Returns how many engines an attempt needs together: the fewest on which it leaves the share of short prompts
     * free. Returns 0 if the usable engines of the group cannot hold it even when they are empty.
     */
    private int enginesNeeded(QueuedAttempt item) {
        if (item.lengthClass() == LengthClass.SHORT || item.memoryTokens() == 0) {
            return 1;
        }
        List<Long> capacities = slots.stream()
                .filter(slot -> !slot.isLeaving()
                        && !item.command().excluded().contains(slot.facts().id()))
                .map(slot -> slot.longerCapacity(options.shortShare()))
                .sorted(Comparator.reverseOrder())
                .toList();
        for (int engines = 1; engines <= capacities.size(); engines++) {
            if (capacities.get(engines - 1) * engines >= item.memoryTokens()) {
                return engines;
            }
        }
        return 0;
    }

    /** Tells whether an upstream may get a share of an attempt now. */
    private boolean fits(UpstreamSlot slot, QueuedAttempt item, long share) {
        LengthClass lengthClass = item.lengthClass();
        if (!slot.takesWork(nowMillis)
                || item.command().excluded().contains(slot.facts().id())) {
            return false;
        }
        if (lengthClass != LengthClass.SHORT && claimed.contains(slot.facts().id())) {
            return false;
        }
        if (lengthClass == LengthClass.LONG && !mayPrefillLong(slot)) {
            return false;
        }
        boolean windowOpen = slot.outstandingBefore(lengthClass) < WINDOW_TOKENS;
        return windowOpen && share <= slot.room(lengthClass, options.shortShare());
    }

    /** One long prefill an engine; while short prompts wait, some engines are kept free of long prefills. */
    private boolean mayPrefillLong(UpstreamSlot slot) {
        if (slot.isPrefillingLong()) {
            return false;
        }
        if (!shortsWait) {
            return true;
        }
        long prefilling = slots.stream().filter(UpstreamSlot::isPrefillingLong).count();
        return prefilling < Math.max(1, Math.floor(slots.size() * (1 - options.shortShare())));
    }

    /** Keeps later long prompts off the engines that will have room first for this one. */
    private void claim(QueuedAttempt item, int engines, long share) {
        if (item.lengthClass() == LengthClass.SHORT || !claimed.isEmpty()) {
            return;
        }
        slots.stream()
                .filter(slot -> !slot.isLeaving()
                        && !item.command().excluded().contains(slot.facts().id()))
                .filter(slot -> slot.longerCapacity(options.shortShare()) >= share)
                .sorted(Comparator.comparingLong(slot -> -slot.room(item.lengthClass(), options.shortShare())))
                .limit(engines)
                .forEach(slot -> claimed.add(slot.facts().id()));
    }

    /** Divides and rounds up. */
    private static long ceilDiv(long value, long by) {
        return (value + by - 1) / by;
    }
}
