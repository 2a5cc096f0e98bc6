package org.apricotstack.core.failure;

/** Reports an error that is not the answer to a request; the message names the remedy. */
public class ApricotException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an error.
     *
     * @param code the kind
     * @param message what is wrong and what to do about it
     */
    public ApricotException(ErrorCode code, String message) {
        this(code, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param code the kind
     * @param message what is wrong and what to do about it
     * @param cause what led to it, or {@code null}
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
