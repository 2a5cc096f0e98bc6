package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Encodes requests for upstreams and parses their responses. */
public interface UpstreamProtocol {

    /**
     * Encodes the request line and headers of a request for its upstream.
     *
     * @param request the caller's request
     * @param bodyBytes length of the request's body, in bytes
     * @param forwarding additional parameters for the upstream
     * @return request line and headers
     */
    HttpRequest write(CallerRequest request, int bodyBytes, ForwardingParameters forwarding);

    /**
     * Parses the head of a response.
     *
     * @param head status and headers
     * @return the parsed head
     */
    ResponseHead read(HttpResponse head);
}
