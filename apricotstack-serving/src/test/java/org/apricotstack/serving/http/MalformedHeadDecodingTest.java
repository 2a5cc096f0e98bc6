package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.core.http.DrawnResponseHead;

import static org.assertj.core.api.Assertions.assertThat;

/** Responses with a head that violates HTTP in one part, received in pieces of any size. */
class MalformedHeadDecodingTest {

    private static final int OK = 200;
    private static final int EARLY_HINTS = 103;

    /**
     * What a decoder returned.
     *
     * @param heads the heads of responses
     * @param ends the number of ends of responses
     */
    private record Decoded(List<HttpResponse> heads, int ends) {}

    private static String response(Random random, DrawnResponseHead.Part violated, int status) {
        boolean chunked = status == OK && random.nextBoolean();
        String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: 5";
        String head = new DrawnResponseHead(random, violated, status)
                .draw(status == OK ? List.of("X-Request-Id: id-1", framing) : List.of("Link: </s>"));
        String body = chunked ? "5\r\nwhole\r\n0\r\n\r\n" : "whole";
        return head + (status == OK ? body : "");
    }

    private static Decoded decode(Random random, String bytes) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new UpstreamResponseDecoder(new HttpDecoderConfig(), response -> false));
        byte[] received = bytes.getBytes(StandardCharsets.ISO_8859_1);
        for (int at = 0; at < received.length; ) {
            int piece = Math.min(received.length - at, 1 + random.nextInt(random.nextBoolean() ? 3 : received.length));
            channel.writeInbound(Unpooled.copiedBuffer(received, at, piece));
            at += piece;
        }
        List<HttpResponse> heads = new ArrayList<>();
        int ends = 0;
        for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpResponse head) {
                heads.add(head);
            }
            ends += message instanceof LastHttpContent ? 1 : 0;
            ReferenceCountUtil.release(message);
        }
        channel.finishAndReleaseAll();
        return new Decoded(heads, ends);
    }

    @Property(seed = "81", tries = 2_000)
    void decodesValidResponsesBehindEachOther(@ForAll long seed) {
        Random random = new Random(seed);
        String bytes = response(random, null, EARLY_HINTS) + response(random, null, OK) + response(random, null, OK);
        Decoded decoded = decode(random, bytes);
        assertThat(decoded.heads()).as(bytes).hasSize(3).allMatch(head -> head.decoderResult()
                .isSuccess());
        assertThat(decoded.ends()).isEqualTo(3);
    }

    /** Guards against a head that the decoder repairs, and against any message behind it. */
    @Property(seed = "81", tries = 5_000)
    void decodesNothingFromAMalformedHeadAndWhatFollowsIt(@ForAll long seed, @ForAll DrawnResponseHead.Part violated) {
        Random random = new Random(seed);
        int before = random.nextInt(2);
        boolean framing = violated == DrawnResponseHead.Part.FRAMING;
        String bytes = response(random, null, OK).repeat(before)
                + response(random, violated, framing || random.nextBoolean() ? OK : EARLY_HINTS)
                + response(random, null, OK);
        Decoded decoded = decode(random, bytes);
        assertThat(decoded.heads().stream().filter(head -> head.decoderResult().isSuccess()))
                .as(bytes)
                .hasSize(before);
        assertThat(decoded.heads()).hasSize(before + 1);
    }
}
