package org.apricotstack.core.failure;

/**
 * The reason why a request or an attempt ended without an answer.
 *
 * @param reason the reason
 * @param outcome whether an upstream may have received the request
 * @param retryAfterMillis suggested retry delay, in milliseconds; 0 if not known
 * @param detail additional information for the caller, never a credential or a part of a prompt; may be empty
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis, String detail) {

    /**
     * Creates a refusal of a request that was not run.
     *
     * @param reason the reason
     * @param retryAfterMillis suggested retry delay, in milliseconds; 0 if not known
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, retryAfterMillis, "");
    }

    /**
     * Creates a refusal of a request that was not run, with additional information.
     *
     * @param reason the reason
     * @param detail the information
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, Outcome.NOT_RUN, 0, detail);
    }

    /**
     * Creates a failure of a request that may have been run.
     *
     * @param reason the reason
     * @return the failure
     */
    public static Refusal unknown(RefusalReason reason) {
        return new Refusal(reason, Outcome.UNKNOWN, 0, "");
    }

    /**
     * Returns the same refusal with another outcome.
     *
     * @param other the outcome
     * @return the changed refusal
     */
    public Refusal withOutcome(Outcome other) {
        return new Refusal(reason, other, retryAfterMillis, detail);
    }

    /**
     * Wraps the refusal in an exception.
     *
     * @return the exception
     */
    public RefusedException toException() {
        return new RefusedException(this);
    }
}
