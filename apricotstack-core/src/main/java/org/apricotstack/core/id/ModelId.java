package org.apricotstack.core.id;

/**
 * Names a model that engines serve.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 */
public record ModelId(String value) implements Comparable<ModelId> {

    /** Checks the name. */
    public ModelId {
        Names.require("model", value);
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
