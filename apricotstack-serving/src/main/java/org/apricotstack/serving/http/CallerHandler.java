package org.apricotstack.serving.http;

/** Takes the requests of callers. */
@FunctionalInterface
public interface CallerHandler {

    /**
     * Takes a request whose line and headers have come.
     *
     * @param request the request
     * @param exchange takes the answer, possibly at once
     * @return takes what follows
     */
    CallerRequestListener open(CallerRequest request, CallerExchange exchange);
}
