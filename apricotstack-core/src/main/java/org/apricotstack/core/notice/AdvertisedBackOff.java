package org.apricotstack.core.notice;

import java.util.List;
import java.util.regex.Pattern;

/**
 * How long one answer of an upstream asks the router that it turns away to send it nothing.
 *
 * @param kind whether it asks for that
 * @param millis for how long, in milliseconds; 0 unless it asks
 */
public record AdvertisedBackOff(Kind kind, long millis) {

    /** The answer asks for nothing. */
    public static final AdvertisedBackOff ABSENT = new AdvertisedBackOff(Kind.ABSENT, 0);

    /** The answer asks for something that is no time. */
    public static final AdvertisedBackOff UNREADABLE = new AdvertisedBackOff(Kind.UNREADABLE, 0);

    /** Longest time that is kept to, in milliseconds: one value must not end the use of an upstream for good. */
    public static final long MAX_MILLIS = 3_600_000;

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Whether an answer asks for a back-off. */
    public enum Kind {
        /** It asks for none. */
        ABSENT,
        /** It asks for something that is no time in seconds. */
        UNREADABLE,
        /** It asks for one. */
        PRESENT
    }

    /**
     * Reads the values of the field that asks for a back-off, in seconds. Of several values the greatest one counts.
     *
     * @param values the field's values in an answer; empty if it lacks the field
     * @return what they say
     */
    public static AdvertisedBackOff parse(List<String> values) {
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
        if (greatest < 0) {
            return UNREADABLE;
        }
        long millis = (long) Math.min(MAX_MILLIS, Math.ceil(greatest * MILLIS_PER_SECOND));
        return millis == 0 ? ABSENT : new AdvertisedBackOff(Kind.PRESENT, millis);
    }
}
