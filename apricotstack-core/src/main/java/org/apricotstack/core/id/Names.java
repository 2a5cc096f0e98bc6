package org.apricotstack.core.id;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Checks names that come from callers, operators and peers. */
public final class Names {

    /** Maximum length of a key of the platform, in bytes; names that come from such keys may be as long. */
    static final int MAX_KEY_BYTES = 200;

    /** Maximum length of other names, in characters. */
    private static final int MAX_LENGTH = 128;

    private static final Pattern CHARACTERS = Pattern.compile("[A-Za-z0-9._:-]+");

    /** Anything but control characters, line separators and halves of surrogate pairs. */
    private static final Pattern TEXT = Pattern.compile("[^\\p{Cc}\\p{Cs}\\p{Zl}\\p{Zp}]+");

    private Names() {}

    /**
     * Checks one name.
     *
     * @param kind what the name identifies, for the message
     * @param value the name to check
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if it is not valid
     */
    static void require(String kind, String value) {
        require(kind, value, MAX_LENGTH);
    }

    /**
     * Checks one name.
     *
     * @param kind what the name identifies, for the message
     * @param value the name to check
     * @param maxLength its maximum length, in characters
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if it is not valid
     */
    static void require(String kind, String value, int maxLength) {
        if (!isValid(value, maxLength)) {
            throw invalid(kind, value, "1 to " + maxLength + " letters, digits, dots, hyphens, underscores or colons");
        }
    }

    /**
     * Checks one name that the platform's operators choose freely.
     *
     * @param kind what the name identifies, for the message
     * @param value the name to check
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if it is not valid
     */
    static void requireText(String kind, String value) {
        if (!isText(value)) {
            throw invalid(
                    kind,
                    value,
                    "1 to " + MAX_KEY_BYTES + " bytes of UTF-8 without control characters and line separators");
        }
    }

    /** Tells whether a text is 1 to 200 bytes of UTF-8 without control characters and line separators. */
    static boolean isText(String value) {
        return value != null
                && TEXT.matcher(value).matches()
                && value.getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES;
    }

    /** Creates the error for a name that is not valid. */
    static ApricotException invalid(String kind, String value, String allowed) {
        return new ApricotException(
                ErrorCode.INVALID_NAME,
                "The " + kind + " name " + (value == null ? "is absent" : "has a form that is not allowed") + "; use "
                        + allowed + ".");
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether it has 1 to 128 letters, digits, dots, hyphens, underscores or colons
     */
    public static boolean isValid(String value) {
        return isValid(value, MAX_LENGTH);
    }

    /** Tells whether a text is a valid name of at most a number of characters. */
    static boolean isValid(String value, int maxLength) {
        return value != null
                && value.length() <= maxLength
                && CHARACTERS.matcher(value).matches();
    }
}
