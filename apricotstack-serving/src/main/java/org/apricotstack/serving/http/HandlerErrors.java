package org.apricotstack.serving.http;

/** Ends requests whose handler or listener threw an exception or an error. */
final class HandlerErrors {

    private HandlerErrors() {}

    /**
     * Ends a request. The handler, or the listener once there is one, sends the response; if it does not, the request
     * is refused here.
     *
     * @param handler the handler of the request
     * @param request the request, or {@code null} if it could not be read
     * @param listener the listener, or {@code null} if the handler returned none
     * @param exchange the exchange of the request
     */
    static void end(
            CallerHandler handler, CallerRequest request, CallerRequestListener listener, CallerExchange exchange) {
        try {
            if (listener != null) {
                listener.failed();
            } else if (request != null) {
                handler.failed(request, exchange);
            }
        } catch (RuntimeException | Error e) {
            // The first error is reported; the request is refused below in any case.
        }
        exchange.refuseAfterError(listener != null);
    }
}
