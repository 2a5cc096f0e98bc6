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
 * Finds the upstreams for each attempt in one scheduling round: one with enough free memory, or several of the group
 * at once for a prompt that exceeds the memory of one engine.
 *
 * <p>All engines of an attempt are assigned in one step by the single owner of the group. No attempt holds some
 * engines while it waits for others, so there is no deadlock. The first attempt of the queue that does not fit
 * <em>claims</em> the engines with the most free memory: later long prompts are kept off them until it starts, so it
 * cannot starve.
 */
final class PlacementRound {

    /**
     * Maximum outstanding prefill tokens of an engine before it gets no more work: enough that it never idles, while
     * later choices are still left to the queue.
     */
    private static final long PREFILL_WINDOW_TOKENS = 8_192;

    private final Collection<UpstreamSlot> slots;
    private final SchedulerOptions options;
    private final long nowMillis;
    private final boolean shortPromptsWaiting;
    private final Set<UpstreamId> claimed = new HashSet<>();

    /** Starts a scheduling round. */
    PlacementRound(
            Collection<UpstreamSlot> slots, SchedulerOptions options, long nowMillis, boolean shortPromptsWaiting) {
        this.slots = slots;
        this.options = options;
        this.nowMillis = nowMillis;
        this.shortPromptsWaiting = shortPromptsWaiting;
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
     * Returns how many engines an attempt needs together: the fewest that can hold it without the share of memory that
     * is reserved for short prompts. Returns 0 if the usable engines of the group cannot hold it even when they are
     * empty.
     */
    private int enginesNeeded(QueuedAttempt item) {
        if (item.lengthClass() == LengthClass.SHORT || item.memoryTokens() == 0) {
            return 1;
        }
        List<Long> capacities = slots.stream()
                .filter(slot -> !slot.isLeaving()
                        && !item.command().excluded().contains(slot.upstream().id()))
                .map(slot -> slot.nonShortCapacity(options.shortShare()))
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
        if (!slot.acceptsWork(nowMillis)
                || item.command().excluded().contains(slot.upstream().id())) {
            return false;
        }
        if (lengthClass != LengthClass.SHORT && claimed.contains(slot.upstream().id())) {
            return false;
        }
        if (lengthClass == LengthClass.LONG && !mayPrefillLong(slot)) {
            return false;
        }
        boolean windowOpen = slot.outstandingBefore(lengthClass) < PREFILL_WINDOW_TOKENS;
        return windowOpen && share <= slot.freeTokens(lengthClass, options.shortShare());
    }

    /**
     * Tells whether an engine may start a long prefill. Each engine runs one at a time; while short prompts wait, some
     * engines are kept free of long prefills.
     */
    private boolean mayPrefillLong(UpstreamSlot slot) {
        if (slot.isPrefillingLong()) {
            return false;
        }
        if (!shortPromptsWaiting) {
            return true;
        }
        long prefilling = slots.stream().filter(UpstreamSlot::isPrefillingLong).count();
        return prefilling < Math.max(1, Math.floor(slots.size() * (1 - options.shortShare())));
    }

    /** Keeps later long prompts off the engines that will have enough free memory for this one first. */
    private void claim(QueuedAttempt item, int engines, long share) {
        if (item.lengthClass() == LengthClass.SHORT || !claimed.isEmpty()) {
            return;
        }
        slots.stream()
                .filter(slot -> !slot.isLeaving()
                        && !item.command().excluded().contains(slot.upstream().id()))
                .filter(slot -> slot.nonShortCapacity(options.shortShare()) >= share)
                .sorted(Comparator.comparingLong(slot -> -slot.freeTokens(item.lengthClass(), options.shortShare())))
                .limit(engines)
                .forEach(slot -> claimed.add(slot.upstream().id()));
    }

    /** Divides and rounds up. */
    private static long ceilDiv(long value, long by) {
        return (value + by - 1) / by;
    }
}
