package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamResponseDecoderTest {

    private final UpstreamResponseDecoder decoder =
            new UpstreamResponseDecoder(new HttpDecoderConfig(), response -> false);
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void stop() {
        channel.finishAndReleaseAll();
    }

    private void receive(String bytes) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n"
            })
    void holdsNothingAfterAWholeResponse(String response) {
        receive(response);
        assertThat(decoder.holdsPartOfResponse()).isFalse();
    }

    /** Guards against a kept connection on which the next response is appended to a part of another one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\n",
                "HTTP/1.1 200 OK\r\nA: b\r\nC",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n"
            })
    void holdsAPartOfAResponseThatFollowsAWholeOne(String part) {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
        receive(part);
        assertThat(decoder.holdsPartOfResponse()).isTrue();
    }
}
