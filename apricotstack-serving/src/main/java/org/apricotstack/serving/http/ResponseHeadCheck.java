package org.apricotstack.serving.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apricotstack.core.http.HeadViolation;
import org.apricotstack.core.http.ResponseHeadSyntax;

/**
 * Checks the bytes of heads that a decoder consumed, as it repairs heads that violate HTTP and returns something that
 * the upstream did not send.
 */
final class ResponseHeadCheck {

    private final ResponseHeadSyntax syntax = new ResponseHeadSyntax();
    private boolean inBody;
    private boolean malformed;

    /** Returns whether a head was malformed, after which nothing on the connection can be read. */
    boolean isMalformed() {
        return malformed;
    }

    /**
     * Reads the bytes that a decoder consumed, and replaces the messages that it decoded from them by an invalid one if
     * they violate HTTP.
     *
     * @param buffer contains the bytes, from the given index to its reader index
     * @param from index of the first byte that was consumed
     * @param messages the decoded messages
     * @param firstMessage index of the first message that was decoded from the bytes
     */
    void decoded(ByteBuf buffer, int from, List<Object> messages, int firstMessage) {
        HeadViolation violation = inBody ? null : violation(buffer, from, buffer.readerIndex());
        if (violation != null) {
            malformed = true;
            while (messages.size() > firstMessage) {
                ReferenceCountUtil.release(messages.remove(messages.size() - 1));
            }
            messages.add(invalidHead(violation));
        }
        for (Object message : messages.subList(firstMessage, messages.size())) {
            record(message);
        }
    }

    /** Creates a message that stands for a malformed head. */
    private static HttpResponse invalidHead(HeadViolation violation) {
        HttpResponse invalid = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
        invalid.setDecoderResult(DecoderResult.failure(new MalformedHeadException(violation)));
        return invalid;
    }

    /** Records whether a body follows. */
    private void record(Object message) {
        if (message instanceof HttpResponse) {
            inBody = true;
        }
        if (message instanceof LastHttpContent) {
            inBody = false;
            syntax.reset();
        }
    }

    /** Returns how bytes of a head violate HTTP; {@code null} if they do not. */
    private HeadViolation violation(ByteBuf buffer, int from, int to) {
        for (int index = from; index < to && !syntax.isComplete(); index++) {
            HeadViolation violation = syntax.read(buffer.getByte(index));
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }
}
