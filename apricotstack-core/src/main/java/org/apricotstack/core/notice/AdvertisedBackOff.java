package org.apricotstack.core.notice;

import java.util.List;
import java.util.regex.Pattern;

/**
 * The back-off that one response of an upstream requests from the router whose request it rejects.
 *
 * @param kind whether the response requests a back-off
 * @param millis duration, in milliseconds; 0 unless a back-off is requested
 */
public record AdvertisedBackOff(Kind kind, long millis) {

    /** No back-off is requested. */
    public static final AdvertisedBackOff ABSENT = new AdvertisedBackOff(Kind.ABSENT, 0);

    /** The value is not a valid duration. */
    public static final AdvertisedBackOff UNREADABLE = new AdvertisedBackOff(Kind.UNREADABLE, 0);

    /** Maximum duration, in milliseconds: a single value must not exclude an upstream permanently. */
    public static final long MAX_MILLIS = 3_600_000;

    private static final Pattern DECIMAL = Pattern.compile("\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Whether a response requests a back-off. */
    public enum Kind {
        /** No back-off is requested. */
        ABSENT,
        /** The value is not a duration in seconds. */
        UNREADABLE,
        /** A back-off is requested. */
        STATED
    }

    /**
     * Parses the values of the back-off field, in seconds. Of several values the greatest one applies.
     *
     * @param values the values of the field in a response; empty if the field is missing
     * @return the requested back-off
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
        return millis == 0 ? ABSENT : new AdvertisedBackOff(Kind.STATED, millis);
    }
}
