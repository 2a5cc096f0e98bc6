package org.apricotstack.core.id;

/**
 * Identifies one run of a router process: after a restart, the same host runs another process without the previous
 * state.
 *
 * @param host the host on which it runs
 * @param incarnation number that increases with each start on that host: wall-clock milliseconds at the start, raised
 *     above any number that peers have recorded
 */
public record ProcessId(HostId host, long incarnation) {

    /** Separates the host from the incarnation in the text form. */
    private static final char SEPARATOR = '/';

    /**
     * Parses the text form.
     *
     * @param text the form written by {@link #toString()}
     * @return the process, or {@code null} if the text is malformed
     */
    public static ProcessId parse(String text) {
        int at = text == null ? -1 : text.lastIndexOf(SEPARATOR);
        if (at < 1) {
            return null;
        }
        String host = text.substring(0, at);
        if (!Names.isValid(host)) {
            return null;
        }
        try {
            return new ProcessId(new HostId(host), Long.parseLong(text.substring(at + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ProcessId that && incarnation == that.incarnation && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return host.hashCode() ^ Long.hashCode(incarnation);
    }

    @Override
    public String toString() {
        return host.value() + SEPARATOR + incarnation;
    }
}
