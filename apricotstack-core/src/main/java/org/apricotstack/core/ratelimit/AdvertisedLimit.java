package org.apricotstack.core.ratelimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What one answer of an upstream says of its rate limit.
 *
 * @param kind whether it names one
 * @param perSecond requests a second that it takes from all routers together; 0 unless it names a limit
 */
public record AdvertisedLimit(Kind kind, double perSecond) {

    /** The answer names no limit. */
    public static final AdvertisedLimit ABSENT = new AdvertisedLimit(Kind.ABSENT, 0);

    /** The answer names something that is no limit; it says neither that one holds nor that none does. */
    public static final AdvertisedLimit UNREADABLE = new AdvertisedLimit(Kind.UNREADABLE, 0);

    /** Limit from which on it is read as none, in requests a second: no upstream takes as many. */
    public static final double MAX_PER_SECOND = 100_000;

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");

    /** Whether an answer names a limit. */
    public enum Kind {
        /** It names none. */
        ABSENT,
        /** It names something that is no limit. */
        UNREADABLE,
        /** It names a limit. */
        PRESENT
    }

    /**
     * Reads the values of the field that names a limit. Of several values the least one counts.
     *
     * @param values the field's values in an answer; empty if it lacks the field
     * @return what they say
     */
    public static AdvertisedLimit parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        double least = Double.POSITIVE_INFINITY;
        boolean readable = false;
        for (String value : values) {
            for (String part : value.split(",", -1)) {
                String number = part.trim();
                if (DECIMAL.matcher(number).matches()) {
                    least = Math.min(least, Double.parseDouble(number));
                    readable = true;
                }
            }
        }
        if (!readable) {
            return UNREADABLE;
        }
        return least < MAX_PER_SECOND ? new AdvertisedLimit(Kind.PRESENT, least) : ABSENT;
    }
}
