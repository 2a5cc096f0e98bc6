package org.apricotstack.serving.observe;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Creates the counters of causes and kinds. */
final class EnumCounters {

    private EnumCounters() {}

    /** Creates a counter for each constant, which is exported as zero until something is counted. */
    static <E extends Enum<E>> Map<E, Counter> create(
            MetricRegistry registry, Class<E> type, Function<E, String> name) {
        Map<E, Counter> counters = new EnumMap<>(type);
        for (E constant : type.getEnumConstants()) {
            counters.put(constant, registry.counter(name.apply(constant)));
        }
        return counters;
    }
}
