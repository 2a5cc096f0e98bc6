package org.apricotstack.serving.http;

/**
 * Time limits of a call.
 *
 * @param silenceMillis time without a byte of the response after which the call has failed, in milliseconds
 * @param totalMillis time limit for the complete response, in milliseconds
 */
public record CallLimits(long silenceMillis, long totalMillis) {

    /**
     * Creates limits under which a call may be silent all the time.
     *
     * @param millis time limit for the complete response, in milliseconds
     * @return the limits
     */
    public static CallLimits total(long millis) {
        return new CallLimits(millis, millis);
    }
}
