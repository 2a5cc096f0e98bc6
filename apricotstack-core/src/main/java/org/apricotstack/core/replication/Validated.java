package org.apricotstack.core.replication;

import java.util.List;

import org.apricotstack.core.configuration.Problem;

/**
 * The result of a validation.
 *
 * @param value the value; {@code null} if there are problems
 * @param problems what makes the value invalid; empty if there is one
 * @param <T> the type of the value
 */
public record Validated<T>(T value, List<Problem> problems) {

    /**
     * Tells whether there is a value.
     *
     * @return whether the version may be put into force
     */
    public boolean isValid() {
        return problems.isEmpty();
    }
}
