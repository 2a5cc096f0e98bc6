package org.apricotstack.core.id;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Names a data centre. Names are compared character by character; messages between routers carry them as UTF-8.
 *
 * @param value the name: 1 to 200 bytes of UTF-8, of any characters but control characters and line separators
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    private static final Pattern CHARACTERS = Pattern.compile("[^\\p{Cc}\\p{Cs}\\p{Zl}\\p{Zp}]+");

    /** Checks the name. */
    public DataCentreId {
        if (!isValid(value)) {
            throw Names.invalid(
                    "data centre",
                    value,
                    "1 to " + Names.MAX_KEY_BYTES + " bytes of UTF-8 without control characters and line separators");
        }
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether a data centre may have this name
     */
    public static boolean isValid(String value) {
        return value != null
                && CHARACTERS.matcher(value).matches()
                && value.getBytes(StandardCharsets.UTF_8).length <= Names.MAX_KEY_BYTES;
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentreId that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
