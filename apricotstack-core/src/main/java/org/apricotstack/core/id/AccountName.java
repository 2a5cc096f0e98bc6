package org.apricotstack.core.id;

import java.util.regex.Pattern;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * Names a client account of the platform's configuration. Upstreams receive the name in a header field.
 *
 * @param value the name: any characters of ISO 8859-1 but control characters, with spaces and tabs between others
 */
public record AccountName(String value) {

    /**
     * A value that a header field can carry (RFC 9110, section 5.5). Recipients remove white space at both ends, so
     * that such a name would arrive as another one.
     */
    private static final Pattern PATTERN =
            Pattern.compile("[\\x21-\\x7e\\x80-\\xff](?:[\\t\\x20-\\x7e\\x80-\\xff]*[\\x21-\\x7e\\x80-\\xff])?");

    /**
     * Checks the name.
     *
     * @throws ApricotException with {@link ErrorCode#INVALID_NAME} if no header field can carry it
     */
    public AccountName {
        if (!isValid(value)) {
            throw new ApricotException(
                    ErrorCode.INVALID_NAME,
                    "The client account name " + (value == null ? "is absent" : "is no value of a header field")
                            + "; use visible characters of ISO 8859-1, with spaces between them only.");
        }
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether a header field can carry it unchanged
     */
    public static boolean isValid(String value) {
        return value != null && PATTERN.matcher(value).matches();
    }

    @Override
    public String toString() {
        return value;
    }
}
