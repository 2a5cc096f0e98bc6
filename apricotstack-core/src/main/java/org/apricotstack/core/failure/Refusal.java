package org.apricotstack.core.failure;

/**
 * Says why a request or an attempt ended without an answer.
 *
 * @param reason the reason
 * @param outcome whether an upstream may have been given the request
 * @param retryAfterMillis when it makes sense to come back, in milliseconds; 0 if that is not known
 * @param detail further facts for the caller, never a credential or a part of a prompt; may be empty
 */
public record Refusal(RefusalReason reason, Outcome outcome, long retryAfterMillis, String detail) {

    /**
     * Creates a refusal of something that was not run.
     *
     * @param reason the reason
     * @param retryAfterMillis when to come back, in milliseconds; 0 if not known
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
        return new Refusal(reason, Outcome.NOT_RUN, retryAfterMillis, "");
    }

    /**
     * Creates a refusal of something that was not run, with further facts.
     *
     * @param reason the reason
     * @param detail the facts
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail) {
        return new Refusal(reason, Outcome.NOT_RUN, 0, detail);
    }

    /**
     * Creates a failure of something that may have been run.
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
     * Turns the refusal into an exception.
     *
     * @return an exception that carries it
     */
    public RefusedException toException() {
        return new RefusedException(this);
    }
}
