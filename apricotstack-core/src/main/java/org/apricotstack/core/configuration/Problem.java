package org.apricotstack.core.configuration;

/**
 * A problem in settings, in a configuration or in a trace.
 *
 * @param source the file or document
 * @param path the field in it, such as {@code limits.heartbeatMillis}
 * @param found the invalid value
 * @param allowed the allowed values
 */
public record Problem(String source, String path, String found, String allowed) {

    @Override
    public String toString() {
        return source + ": " + (path.isEmpty() ? "(whole document)" : path) + ": found " + found + "; allowed: "
                + allowed;
    }
}
