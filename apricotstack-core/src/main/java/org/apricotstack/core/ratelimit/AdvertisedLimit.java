package org.apricotstack.core.ratelimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * The rate limit that one response of an upstream advertises.
 *
 * @param kind whether the response advertises a limit
 * @param perSecond requests per second from all routers together; 0 unless a limit is advertised
 */
public record AdvertisedLimit(Kind kind, double perSecond) {

    /** No limit is advertised. */
    public static final AdvertisedLimit ABSENT = new AdvertisedLimit(Kind.ABSENT, 0);

    /** The value is not a valid limit, and neither starts nor ends one. */
    public static final AdvertisedLimit UNREADABLE = new AdvertisedLimit(Kind.UNREADABLE, 0);

    /** Limits from this value on are treated as no limit, in requests per second, as no upstream handles as many. */
    public static final double MAX_PER_SECOND = 100_000;

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");

    /** Whether a response advertises a limit. */
    public enum Kind {
        /** The field is missing. */
        ABSENT,
        /** The value is not a valid limit. */
        UNREADABLE,
        /** A limit is advertised. */
        STATED
    }

    /**
     * Parses the values of the limit field. Of several values the lowest one applies.
     *
     * @param values the values of the field in a response; empty if the field is missing
     * @return the advertised limit
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
        return least < MAX_PER_SECOND ? new AdvertisedLimit(Kind.STATED, least) : ABSENT;
    }
}
