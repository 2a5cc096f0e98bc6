package org.apricotstack.core.id;

/**
 * Names a data centre.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /** Checks the name. */
    public DataCentreId {
        Names.require("data centre", value);
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
