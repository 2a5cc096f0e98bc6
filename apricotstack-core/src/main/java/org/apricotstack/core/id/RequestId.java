package org.apricotstack.core.id;

/**
 * Identifies one request of a caller; unique over all routers.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record RequestId(String value) implements Comparable<RequestId> {

    /** Checks the name. */
    public RequestId {
        Names.require("request", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
