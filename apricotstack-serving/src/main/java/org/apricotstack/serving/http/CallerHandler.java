package org.apricotstack.serving.http;

/** Handles requests of callers. */
@FunctionalInterface
public interface CallerHandler {

    /**
     * Called with a request after its headers arrived.
     *
     * @param request the request
     * @param exchange sends the response, possibly at once
     * @return receives the body and the state of the connection
     */
    CallerRequestListener open(CallerRequest request, CallerExchange exchange);

    /**
     * Called after {@link #open} threw an exception, before anything was done for the request. The connection refuses
     * the request if this method does not.
     *
     * @param request the request
     * @param exchange sends the response
     */
    default void failed(CallerRequest request, CallerExchange exchange) {
        // The connection sends the response.
    }
}
