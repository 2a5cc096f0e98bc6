package org.apricotstack.core.id;

import java.util.regex.Pattern;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/**
 * Names a client account of the platform's configuration. Upstreams receive the name in a header field, in UTF-8.
 *
 * @param value the name: any characters but control characters of ASCII, with spaces and tabs between others
 */
public record AccountName(String value) {

    /**
     * A value whose UTF-8 bytes a header field can carry (RFC 9110, section 5.5). Recipients remove spaces and tabs at
     * both ends, so that such a name would arrive as another one; so would a name with half of a surrogate pair, which
     * has no UTF-8 bytes of its own.
     */
    private static final Pattern PATTERN = Pattern.compile(
            "[^\\x00-\\x20\\x7f\\p{Cs}](?:[^\\x00-\\x08\\x0a-\\x1f\\x7f\\p{Cs}]*[^\\x00-\\x20\\x7f\\p{Cs}])?");

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
                            + "; use no control characters, and spaces between other characters only.");
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
