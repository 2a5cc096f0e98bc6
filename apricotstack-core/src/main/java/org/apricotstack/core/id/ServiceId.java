package org.apricotstack.core.id;

/**
 * Names a service that callers request: a use of a model, or a plain service.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /** Checks the name. */
    public ServiceId {
        Names.require("service", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceId that && value.equals(that.value);
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
