package org.apricotstack.serving.http;

/** Reports a request that is not proper; the message names the remedy. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an error.
     *
     * @param status the HTTP status of the answer
     * @param message what is wrong and what to do about it
     */
    public BadRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /**
     * Returns the status of the answer.
     *
     * @return an HTTP status
     */
    public int status() {
        return status;
    }
}
