package org.apricotstack.serving.http;

/** Thrown for a malformed request; the message tells the caller how to correct it. */
public final class BadRequestException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final int status;

    /**
     * Creates an exception.
     *
     * @param status the HTTP status of the response
     * @param message what is wrong and what to do about it
     */
    public BadRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /**
     * Returns the status of the response.
     *
     * @return an HTTP status
     */
    public int status() {
        return status;
    }
}
