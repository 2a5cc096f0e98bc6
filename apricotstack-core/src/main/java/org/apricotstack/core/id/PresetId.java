package org.apricotstack.core.id;

/**
 * Names a preset, a set of scheduling weights and load-shedding limits.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record PresetId(String value) implements Comparable<PresetId> {

    /** Checks the name. */
    public PresetId {
        Names.require("preset", value);
    }

    @Override
    public int compareTo(PresetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
