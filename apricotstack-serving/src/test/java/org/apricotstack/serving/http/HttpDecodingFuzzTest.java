package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.serving.BoundedThread;
import org.apricotstack.serving.ForeignBytes;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests and responses that are no valid HTTP. */
class HttpDecodingFuzzTest {

    private static final byte[] REQUEST =
            ("POST /a?b=c HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\nX-Deadline-Ms: 300\r\n\r\nbody"
                            + "PUT / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "4\r\nbody\r\n0\r\nX-Trailer: t\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);

    private static final byte[] RESPONSE =
            ("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody"
                            + "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);

    @Property(seed = "67")
    void decodesARequestOrMarksItAsMalformed(@ForAll long seed) {
        BoundedThread.run(() ->
                decode(new ForeignBytes(seed), REQUEST, new StrictRequestDecoder(new HttpDecoderConfig(), () -> {})));
    }

    @Property(seed = "67")
    void decodesAResponseOrMarksItAsMalformed(@ForAll long seed) {
        BoundedThread.run(() -> decode(new ForeignBytes(seed), RESPONSE, new HttpResponseDecoder()));
    }

    private static void decode(ForeignBytes foreign, byte[] valid, ChannelHandler decoder) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        byte[] bytes = foreign.next(valid);
        for (int at = 0; at < bytes.length; ) {
            int piece = foreign.nextPiece(bytes.length - at);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, piece));
            at += piece;
        }
        channel.finish();
        channel.checkException();
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            read(message);
            ReferenceCountUtil.release(message);
        }
    }

    private static void read(HttpObject message) {
        if (message instanceof HttpResponse head && head.decoderResult().isSuccess()) {
            assertThat(new PlainProtocol().read(head).keepAliveMillis()).isNotNegative();
            PlainProtocol.isFramed(HttpMethod.GET, head);
            PlainProtocol.withoutHopByHop(head.headers());
        }
    }
}
