package org.apricotstack.core.id;

/**
 * Names a service that callers request: a use of a model, or a plain service. Names are compared character by
 * character; messages between routers carry them as UTF-8.
 *
 * @param value the name: 1 to 200 bytes of UTF-8, of any characters but control characters and line separators
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

    /** Checks the name. */
    public ServiceId {
        Names.requireText("service", value);
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
