package org.apricotstack.core.failure;

/** An error that is not the answer to a request; the message states the remedy. */
public class ApricotException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code the kind
     * @param message the problem and its remedy
     */
    public ApricotException(ErrorCode code, String message) {
        this(code, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the kind
     * @param message the problem and its remedy
     * @param cause the cause, or {@code null}
     */
    public ApricotException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Returns the kind of error.
     *
     * @return the kind
     */
    public ErrorCode code() {
        return code;
    }
}
