package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Knows the headers that upstreams read and write. */
public interface UpstreamProtocol {

    /**
     * Writes the line and headers of a request as its upstream reads them.
     *
     * @param request the caller's request
     * @param bodyBytes length of its body, in bytes
     * @param forwarding what is said beside it
     * @return line and headers
     */
    HttpRequest write(CallerRequest request, int bodyBytes, ForwardingParameters forwarding);

    /**
     * Reads the beginning of an answer.
     *
     * @param head status and headers
     * @return what they say
     */
    ResponseHead read(HttpResponse head);
}
