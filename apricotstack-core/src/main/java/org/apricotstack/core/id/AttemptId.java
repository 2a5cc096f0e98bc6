package org.apricotstack.core.id;

/**
 * Identifies one attempt to run a request. Upstreams echo it, so that a late answer to an earlier attempt can be
 * recognized.
 *
 * @param request the request
 * @param number 1 for the first attempt; incremented only by the entry router
 */
public record AttemptId(RequestId request, int number) {

    /** Separates the request from the number in the text form. */
    private static final char SEPARATOR = '~';

    /**
     * Parses the text form.
     *
     * @param text the form written by {@link #toString()}
     * @return the attempt, or {@code null} if the text is malformed
     */
    public static AttemptId parse(String text) {
        int at = text == null ? -1 : text.lastIndexOf(SEPARATOR);
        if (at < 1 || !Names.isValid(text.substring(0, at))) {
            return null;
        }
        try {
            return new AttemptId(new RequestId(text.substring(0, at)), Integer.parseInt(text.substring(at + 1)));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    @Override
    public String toString() {
        return request.value() + SEPARATOR + number;
    }
}
