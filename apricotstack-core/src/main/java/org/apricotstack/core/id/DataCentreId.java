package org.apricotstack.core.id;

/**
 * Names a data centre. Names are compared character by character; messages between routers carry them as UTF-8.
 *
 * @param value the name: 1 to 200 bytes of UTF-8, of any characters but control characters and line separators
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Checks the name. */
    public DataCentreId {
        Names.requireText("data centre", value);
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether a data centre may have this name
     */
    public static boolean isValid(String value) {
        return Names.isText(value);
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
