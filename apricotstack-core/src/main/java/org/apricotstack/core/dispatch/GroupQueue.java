package org.apricotstack.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.AttemptId;

/** The waiting attempts of a group; the scheduler bounds them by count and by prompt tokens. */
final class GroupQueue {

    private final Map<AttemptId, QueuedAttempt> items = new LinkedHashMap<>();
    private final Map<LengthClass, Long> tokens = new EnumMap<>(LengthClass.class);

    /** Adds an attempt. */
    void add(QueuedAttempt item) {
        items.put(item.command().attempt(), item);
        tokens.merge(item.lengthClass(), item.command().work().promptTokens(), Long::sum);
    }

    /** Removes an attempt; returns {@code null} if it is not waiting. */
    QueuedAttempt remove(AttemptId attempt) {
        QueuedAttempt item = items.remove(attempt);
        if (item != null) {
            tokens.merge(item.lengthClass(), -item.command().work().promptTokens(), Long::sum);
        }
        return item;
    }

    /** Tells whether an attempt is waiting. */
    boolean contains(AttemptId attempt) {
        return items.containsKey(attempt);
    }

    /** Returns the number of waiting attempts. */
    int size() {
        return items.size();
    }

    /** Returns the waiting prompt tokens of a class and of shorter ones. */
    long tokensUpTo(LengthClass lengthClass) {
        long sum = 0;
        for (Map.Entry<LengthClass, Long> entry : tokens.entrySet()) {
            if (entry.getKey().compareTo(lengthClass) <= 0) {
                sum += entry.getValue();
            }
        }
        return sum;
    }

    /** Tells whether an attempt of a class is waiting. */
    boolean hasWaiting(LengthClass lengthClass) {
        return items.values().stream().anyMatch(item -> item.lengthClass() == lengthClass);
    }

    /** Lists the waiting attempts, the highest rating first. */
    List<QueuedAttempt> ordered(ToDoubleFunction<QueuedAttempt> rating) {
        List<Rated> rated = new ArrayList<>(items.size());
        items.values().forEach(item -> rated.add(new Rated(item, rating.applyAsDouble(item))));
        rated.sort(Comparator.comparingDouble(r -> -r.rating));
        return rated.stream().map(Rated::item).toList();
    }

    /** Lists the waiting attempts that match. */
    List<QueuedAttempt> matching(Predicate<QueuedAttempt> predicate) {
        return items.values().stream().filter(predicate).toList();
    }

    /**
     * An attempt with its rating, which is computed once for each sort because it changes with time.
     *
     * @param item the attempt
     * @param rating its rating
     */
    private record Rated(QueuedAttempt item, double rating) {}
}
