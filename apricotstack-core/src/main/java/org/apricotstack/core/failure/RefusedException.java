package org.apricotstack.core.failure;

/**
 * Carries a refusal through a reactive stream. It has no stack trace, because it is an answer and not a program error.
 */
public final class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Creates the exception.
     *
     * @param refusal the refusal to carry
     */
    public RefusedException(Refusal refusal) {
        super(refusal.reason().code() + " (" + refusal.outcome().code() + ") " + refusal.detail(), null, false, false);
        this.refusal = refusal;
    }

    /**
     * Returns the refusal of any error.
     *
     * @param error the error of a reactive stream
     * @param defaultRefusal the refusal for an error that carries none
     * @return the carried refusal, or {@code defaultRefusal}
     */
    public static Refusal refusalOf(Throwable error, Refusal defaultRefusal) {
        return error instanceof RefusedException refused ? refused.refusal : defaultRefusal;
    }

    /**
     * Returns the refusal.
     *
     * @return the refusal
     */
    public Refusal refusal() {
        return refusal;
    }
}
