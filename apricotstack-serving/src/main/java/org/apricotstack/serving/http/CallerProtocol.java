package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpRequest;

/** Knows the headers that callers send. */
@FunctionalInterface
public interface CallerProtocol {

    /**
     * Reads a request's line and headers.
     *
     * @param head the line and headers
     * @return the request
     * @throws BadRequestException if it is not proper
     */
    CallerRequest read(HttpRequest head);
}
