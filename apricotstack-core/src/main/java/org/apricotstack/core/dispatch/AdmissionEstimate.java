package org.apricotstack.core.dispatch;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Predicts when an attempt would finish, and refuses attempts that cannot finish in time.
 *
 * <p>A request that is queued although it cannot finish in time wastes engine time that another request needs, and its
 * caller learns late what could have been reported at once. Nothing is refused on a prediction before the speed of the
 * engines has been measured from replies.
 */
final class AdmissionEstimate {

    /** Weight of a new answer length in the exponential moving average. */
    private static final double SMOOTHING = 0.1;

    private final Collection<UpstreamSlot> slots;
    private final GroupQueue queue;
    private final MonotonicClock clock;
    private final Map<LengthClass, Double> answerShare = new EnumMap<>(LengthClass.class);

    /** Creates an estimate over the live state of a scheduler. */
    AdmissionEstimate(Collection<UpstreamSlot> slots, GroupQueue queue, MonotonicClock clock) {
        this.slots = slots;
        this.queue = queue;
        this.clock = clock;
    }

    /** Records which share of the maximum answer length was used. */
    void recordAnswerLength(QueuedAttempt item, long answerTokens) {
        double share = Math.min(
                1, (double) answerTokens / Math.max(1, item.command().work().outputTokens()));
        answerShare.merge(item.lengthClass(), share, (old, fresh) -> old + SMOOTHING * (fresh - old));
    }

    /** Returns the refusal of an attempt that cannot finish in time, or {@code null}. */
    Refusal refusalFor(QueuedAttempt item) {
        UpstreamSlot representative = representative();
        if (representative == null || !representative.predictor().hasEnoughSamples()) {
            return null;
        }
        double needed =
                firstTokenMillis(item.lengthClass(), item.command().work().promptTokens())
                        + decodeMillis(representative, item);
        double left = item.command().deadline().remainingMillis(clock);
        if (needed <= left) {
            return null;
        }
        long retryAfterMillis = Math.round(Math.min(needed - left, queueMillis(item.lengthClass()))) + 1;
        return new Refusal(
                RefusalReason.CANNOT_FINISH_IN_TIME,
                Outcome.NOT_RUN,
                retryAfterMillis,
                "Predicted " + Math.round(needed) + " ms, allowed " + Math.round(left) + " ms.");
    }

    /** Tells whether a waiting attempt cannot finish in time even if it started now on an idle engine. */
    boolean cannotFinishInTime(QueuedAttempt item) {
        double left = item.command().deadline().remainingMillis(clock);
        UpstreamSlot representative = representative();
        if (representative == null || !representative.predictor().hasEnoughSamples()) {
            return left <= 0;
        }
        return left <= 0 || ownPrefillMillis(item) > left;
    }

    /** Predicts the time until a new attempt of a class gets its first token. */
    double firstTokenMillis(LengthClass lengthClass, long promptTokens) {
        UpstreamSlot representative = representative();
        if (representative == null) {
            return 0;
        }
        double ahead = Double.MAX_VALUE;
        for (UpstreamSlot slot : slots) {
            if (!slot.isLeaving()) {
                ahead = Math.min(ahead, slot.predictor().prefillMillis(slot.outstandingBefore(lengthClass)));
            }
        }
        return ahead + queueMillis(lengthClass) + representative.predictor().prefillMillis(promptTokens);
    }

    /** Predicts the time until the waiting attempts of a class and of shorter ones have started. */
    double queueMillis(LengthClass lengthClass) {
        UpstreamSlot representative = representative();
        if (representative == null) {
            return 0;
        }
        long usable = slots.stream().filter(slot -> !slot.isLeaving()).count();
        return representative.predictor().prefillMillis(queue.tokensUpTo(lengthClass)) / Math.max(1, usable);
    }

    /** Predicts the prefill of an attempt on an idle engine. */
    double ownPrefillMillis(QueuedAttempt item) {
        UpstreamSlot representative = representative();
        return representative == null
                ? 0
                : representative.predictor().prefillMillis(item.command().work().promptTokens());
    }

    /** Predicts the time from the first token to the end. */
    private double decodeMillis(UpstreamSlot representative, QueuedAttempt item) {
        double share = answerShare.getOrDefault(item.lengthClass(), 0.0);
        return representative
                .predictor()
                .decodeMillis(Math.round(share * item.command().work().outputTokens()));
    }

    /**
     * Returns an upstream that represents the whole group: the first one with enough samples, or else the first one.
     */
    private UpstreamSlot representative() {
        UpstreamSlot first = null;
        for (UpstreamSlot slot : slots) {
            if (slot.isLeaving()) {
                continue;
            }
            if (slot.predictor().hasEnoughSamples()) {
                return slot;
            }
            first = first == null ? slot : first;
        }
        return first;
    }
}
