package org.apricotstack.core.id;

/**
 * Names a host that runs a router.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record HostId(String value) implements Comparable<HostId> {

    /** Checks the name. */
    public HostId {
        Names.require("host", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HostId that && value.equals(that.value);
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
