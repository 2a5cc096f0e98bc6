package org.apricotstack.serving.observe;

import java.util.LinkedHashSet;
import java.util.Set;

import com.google.common.base.Ascii;

/**
 * Names in what upstreams and the platform say that this program does not know, so that a field that is new there is
 * seen on its first day.
 */
public final class UnknownFields {

    /** Names that are remembered, so that each is written down once; bounds the memory. */
    private static final int MOST_NAMES = 64;

    /** Longest name that is written down, in characters; others may have chosen it. */
    private static final int MOST_NAME_LETTERS = 60;

    private final DecisionLog log;
    private final Set<String> names = new LinkedHashSet<>();
    private long count;

    /**
     * Creates a list of no names.
     *
     * @param log takes each name once
     */
    public UnknownFields(DecisionLog log) {
        this.log = log;
    }

    /**
     * Counts a name that is not known, and writes it down when it is met for the first time.
     *
     * @param place where it stands, such as {@code answer}
     * @param name the name
     */
    public void count(String place, String name) {
        count++;
        String shortened = Ascii.truncate(name, MOST_NAME_LETTERS, "...");
        if (names.size() < MOST_NAMES && names.add(place + " " + shortened)) {
            log.line("field_unknown").put("place", place).put("name", shortened).write();
        }
    }

    /**
     * Returns how many different names are remembered.
     *
     * @return names, 64 at most
     */
    public long size() {
        return names.size();
    }

    /**
     * Returns how often a name was met that is not known.
     *
     * @return times since the start
     */
    public long count() {
        return count;
    }
}
