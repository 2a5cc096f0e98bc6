package org.apricotstack.core.notice;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** What one answer of an upstream says of its leaving. */
public enum AdvertisedDrain {
    /** Nothing: the field is missing in an answer that need not be the upstream's own. */
    ABSENT,
    /** The upstream takes requests: its own answer lacks the field, or denies it. */
    SERVING,
    /** The upstream leaves and wants no new requests. */
    DRAINING,
    /** The field has a value that says neither. */
    UNREADABLE;

    private static final Pattern NUMBER = Pattern.compile("\\+?\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");
    private static final Pattern ZERO = Pattern.compile("\\+?0{1,30}(\\.0{0,30})?([eE][+-]?\\d{1,9})?");

    /**
     * Reads the values of the field that announces a drain. If several differ, a drain counts before a denial.
     *
     * @param values the field's values in an answer; empty if it lacks the field
     * @param authentic whether the answer is proven to be the upstream's own
     * @return what they say
     */
    public static AdvertisedDrain parse(List<String> values, boolean authentic) {
        if (values.isEmpty()) {
            return authentic ? SERVING : ABSENT;
        }
        AdvertisedDrain result = UNREADABLE;
        for (String value : values) {
            for (String part : value.split(",", -1)) {
                AdvertisedDrain one = parseOne(part.trim().toLowerCase(Locale.ROOT));
                if (one == DRAINING) {
                    return DRAINING;
                }
                result = one == SERVING ? SERVING : result;
            }
        }
        return result;
    }

    /** Reads one value in lower case. */
    private static AdvertisedDrain parseOne(String value) {
        if (value.equals("false") || ZERO.matcher(value).matches()) {
            return SERVING;
        }
        return value.equals("true") || NUMBER.matcher(value).matches() ? DRAINING : UNREADABLE;
    }
}
