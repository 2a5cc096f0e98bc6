package org.apricotstack.core.id;

/**
 * Names an upstream: a model engine or one replica of a plain service.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    /** Checks the name. */
    public UpstreamId {
        Names.require("upstream", value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
