package org.apricotstack.core.configuration;

/**
 * One problem in settings, in a configuration or in a trace.
 *
 * @param source the file or document
 * @param path where in it, such as {@code limits.heartbeatMillis}
 * @param found what was found
 * @param allowed what is allowed there
 */
public record Problem(String source, String path, String found, String allowed) {

    @Override
    public String toString() {
        return source + ": " + (path.isEmpty() ? "(whole document)" : path) + ": found " + found + "; allowed: "
                + allowed;
    }
}
