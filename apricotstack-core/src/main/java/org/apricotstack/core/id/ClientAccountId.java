package org.apricotstack.core.id;

/**
 * Names a client account.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record ClientAccountId(String value) implements Comparable<ClientAccountId> {

    /** Checks the name. */
    public ClientAccountId {
        Names.require("client account", value);
    }

    @Override
    public int compareTo(ClientAccountId other) {
        return value.compareTo(other.value);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClientAccountId that && value.equals(that.value);
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
