package org.apricotstack.serving.observe;

import java.util.LinkedHashSet;
import java.util.Set;

import com.google.common.base.Ascii;

/**
 * Collects unknown fields in messages of upstreams and the platform, so that a new field is noticed as soon as it
 * appears.
 */
public final class UnknownFields {

    /** Maximum number of remembered names, so that each is logged once. */
    private static final int MAX_NAMES = 64;

    /** Maximum length of a logged name, in characters; it may come from an untrusted sender. */
    private static final int MAX_NAME_LENGTH = 60;

    private final DecisionLog log;
    private final Set<String> names = new LinkedHashSet<>();
    private long count;

    /**
     * Creates an empty collection.
     *
     * @param log receives each name once
     */
    public UnknownFields(DecisionLog log) {
        this.log = log;
    }

    /**
     * Counts an unknown field, and logs its name when it first occurs.
     *
     * @param place the kind of message, such as {@code answer}
     * @param name the name of the field
     */
    public void count(String place, String name) {
        count++;
        String shortened = Ascii.truncate(name, MAX_NAME_LENGTH, "...");
        if (names.size() < MAX_NAMES && names.add(place + " " + shortened)) {
            log.line("field_unknown").put("place", place).put("name", shortened).write();
        }
    }

    /**
     * Returns the number of different remembered names.
     *
     * @return names, 64 at most
     */
    public long size() {
        return names.size();
    }

    /**
     * Returns how often an unknown field occurred.
     *
     * @return occurrences since the start
     */
    public long count() {
        return count;
    }
}
