package org.apricotstack.core.notice;

import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/** The drain state that one response of an upstream advertises. */
public enum AdvertisedDrain {
    /** Unknown: the field is missing in a response that may not originate from the upstream itself. */
    ABSENT,
    /** The upstream accepts requests: the field is false, or missing in a response of the upstream itself. */
    SERVING,
    /** The upstream is draining and accepts no new requests. */
    DRAINING,
    /** The value of the field is not valid. */
    UNREADABLE;

    private static final Pattern NUMBER = Pattern.compile("\\+?\\d{1,30}(\\.\\d{0,30})?([eE][+-]?\\d{1,9})?");
    private static final Pattern ZERO = Pattern.compile("\\+?0{1,30}(\\.0{0,30})?([eE][+-]?\\d{1,9})?");

    /**
     * Parses the values of the drain field. If several values differ, draining takes precedence.
     *
     * @param values the values of the field in a response; empty if the field is missing
     * @param authentic whether the response is proven to originate from the upstream itself
     * @return the advertised drain state
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

    /** Parses one value in lower case. */
    private static AdvertisedDrain parseOne(String value) {
        if (value.equals("false") || ZERO.matcher(value).matches()) {
            return SERVING;
        }
        return value.equals("true") || NUMBER.matcher(value).matches() ? DRAINING : UNREADABLE;
    }
}
