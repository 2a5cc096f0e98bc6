package org.apricotstack.core.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

/** The shared traits of requests that upstreams served completely, with the last time. */
final class ServedTraits {

    /** Maximum number of traits; about half a megabyte. The one that was served longest ago is removed first. */
    static final int MAX_TRAITS = 4_096;

    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<SharedTrait, Long> lastServedMillis = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<SharedTrait, Long> eldest) {
            return size() > MAX_TRAITS;
        }
    };

    /** Records that a request with a trait was served. */
    void record(SharedTrait trait, long nowMillis) {
        lastServedMillis.put(trait, nowMillis);
    }

    /** Returns whether a request with a trait was served at or after a time. */
    boolean servedSince(RequestTrait trait, long sinceMillis) {
        Long served = trait instanceof SharedTrait shared ? lastServedMillis.get(shared) : null;
        return served != null && served >= sinceMillis;
    }
}
