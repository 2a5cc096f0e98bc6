package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpRequest;

/** Parses the headers that callers send. */
@FunctionalInterface
public interface CallerProtocol {

    /**
     * Parses a request line and headers.
     *
     * @param head the request line and headers
     * @return the request
     * @throws BadRequestException if the request is malformed
     */
    CallerRequest read(HttpRequest head);
}
