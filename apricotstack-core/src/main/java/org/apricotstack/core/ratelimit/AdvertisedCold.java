package org.apricotstack.core.ratelimit;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What an upstream says in its entry or in a response about how long it stays cold.
 *
 * @param kind whether it says anything
 * @param millis remaining time, in milliseconds; 0 if it is warm
 */
public record AdvertisedCold(Kind kind, long millis) {

    /** Nothing is said. */
    public static final AdvertisedCold ABSENT = new AdvertisedCold(Kind.ABSENT, 0);

    /** The value is not a duration. */
    public static final AdvertisedCold UNREADABLE = new AdvertisedCold(Kind.UNREADABLE, 0);

    /** Maximum duration, in milliseconds; a single wrong value must not restrict an upstream permanently. */
    public static final long MAX_MILLIS = 600_000;

    private static final Pattern DECIMAL = Pattern.compile("\\+?\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");

    /** Whether an upstream says how long it stays cold. */
    public enum Kind {
        /** The field is missing. */
        ABSENT,
        /** The value of the field is not a non-negative number. */
        UNREADABLE,
        /** The remaining time is stated. */
        STATED
    }

    /**
     * Returns a stated time; a fraction counts as a whole millisecond.
     *
     * @param millis remaining time, in milliseconds
     * @return the statement; unreadable for a negative number or NaN
     */
    public static AdvertisedCold of(double millis) {
        return millis >= 0
                ? new AdvertisedCold(Kind.STATED, (long) Math.min(MAX_MILLIS, Math.ceil(millis)))
                : UNREADABLE;
    }

    /**
     * Parses the values of the header field. Of several values the greatest one applies.
     *
     * @param values the values of the field in a response; empty if the field is missing
     * @return the statement
     */
    public static AdvertisedCold parse(List<String> values) {
        if (values.isEmpty()) {
            return ABSENT;
        }
        double greatest = -1;
        for (String value : values) {
            for (String part : value.split(",", -1)) {
                String number = part.trim();
                if (DECIMAL.matcher(number).matches()) {
                    greatest = Math.max(greatest, Double.parseDouble(number));
                }
            }
        }
        return of(greatest);
    }
}
