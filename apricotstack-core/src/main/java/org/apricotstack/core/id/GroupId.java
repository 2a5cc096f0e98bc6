package org.apricotstack.core.id;

/**
 * Names a group: the upstreams of one data centre that serve the same model or plain service.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record GroupId(String value) implements Comparable<GroupId> {

    /** Checks the name. */
    public GroupId {
        Names.require("group", value);
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
