package org.apricotstack.serving.http;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Translates the errors of the request decoder. */
final class DecodingErrors {

    private DecodingErrors() {}

    /** Returns the text of the response to a request that could not be decoded. */
    static String message(Throwable cause) {
        return cause instanceof TooLongHttpContentException
                ? cause.getMessage()
                : "The request is not proper HTTP; send it as HTTP/1.1.";
    }

    /** Returns the status of the response to a request that could not be decoded. */
    static HttpResponseStatus status(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        if (cause instanceof TooLongHttpContentException) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        return cause instanceof TooLongHttpLineException
                ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                : HttpResponseStatus.BAD_REQUEST;
    }
}
