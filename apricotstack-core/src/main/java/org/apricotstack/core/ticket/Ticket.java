package org.apricotstack.core.ticket;

import org.apricotstack.core.id.ProcessId;

/**
 * Permission to run one request at most once.
 *
 * @param issuer the process that issued it, the only one that may spend it
 * @param serial serial number within that process
 * @param expiresMillis the time of expiry, on the monotonic clock of that process
 * @param seal message authentication code that proves that the process issued it
 */
public record Ticket(ProcessId issuer, long serial, long expiresMillis, String seal) {

    /** Separates the parts of the text form. */
    private static final String SEPARATOR = "!";

    private static final int PARTS = 4;

    /**
     * Parses the text form.
     *
     * @param text the form written by {@link #toString()}
     * @return the ticket, or {@code null} if the text is malformed
     */
    public static Ticket parse(String text) {
        String[] parts = text == null ? new String[0] : text.split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            return null;
        }
        ProcessId issuer = ProcessId.parse(parts[0]);
        try {
            long serial = Long.parseLong(parts[1]);
            long expires = Long.parseLong(parts[2]);
            return issuer == null ? null : new Ticket(issuer, serial, expires, parts[3]);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Returns the part of the text form that the seal covers. */
    String sealedText() {
        return issuer + SEPARATOR + serial + SEPARATOR + expiresMillis;
    }

    @Override
    public String toString() {
        return sealedText() + SEPARATOR + seal;
    }
}
