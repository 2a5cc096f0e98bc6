package org.apricotstack.core.id;

import java.util.regex.Pattern;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Checks names that come from callers, operators and peers. */
public final class Names {

    /** The pattern that each name matches. */
    public static final Pattern PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private Names() {}

    /**
     * Checks one name.
     *
     * @param kind what the name identifies, for the message
     * @param value the name to check
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if it does not match {@link #PATTERN}
     */
    static void require(String kind, String value) {
        if (value == null || !PATTERN.matcher(value).matches()) {
            throw new ApricotException(
                    ErrorCode.INVALID_NAME,
                    "The " + kind + " name " + (value == null ? "is absent" : "has a form that is not allowed")
                            + "; use 1 to 128 letters, digits, dots, hyphens, underscores or colons.");
        }
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether it matches {@link #PATTERN}
     */
    public static boolean isValid(String value) {
        return value != null && PATTERN.matcher(value).matches();
    }
}
