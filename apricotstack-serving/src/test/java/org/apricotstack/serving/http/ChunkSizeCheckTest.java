package org.apricotstack.serving.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ChunkSizeCheckTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String SOUND =
            HEAD + "3\r\n\n\r\n\r\n0a;x=100000005\r\n100000005\n\r\n0\r\nX-Size: 100000005\r\n\r\n";
    private static final String UNCHUNKED = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n100000005\r\n";
    private static final String TOO_LARGE = HEAD + "1\r\n5\r\n100000005\r\nabcde\r\n0\r\n\r\n";

    /** Returns the bodies that are decoded from pieces of the given length, "!" for an invalid chunk. */
    private static String decode(String text, int pieceLength) {
        EmbeddedChannel channel =
                new EmbeddedChannel(new UpstreamResponseDecoder(new HttpDecoderConfig(), response -> false));
        List<String> decoded = new ArrayList<>();
        for (int i = 0; i < text.length(); i += pieceLength) {
            String piece = text.substring(i, Math.min(text.length(), i + pieceLength));
            channel.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
        }
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            if (message instanceof HttpContent content) {
                boolean failed = content.decoderResult().isFailure();
                decoded.add(failed ? "!" : content.content().toString(StandardCharsets.ISO_8859_1));
                content.release();
            }
        }
        channel.finishAndReleaseAll();
        return String.join("", decoded);
    }

    /** Guards against a check that loses track of a body which arrives in pieces or contains lines like sizes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 1000})
    void findsTheSizeThatIsTooLargeAmongOthers(int pieceLength) {
        assertThat(decode(SOUND + UNCHUNKED + SOUND, pieceLength))
                .isEqualTo("\n\r\n100000005\n100000005\r\n\n\r\n100000005\n");
        assertThat(decode(SOUND + TOO_LARGE, pieceLength)).startsWith("\n\r\n100000005\n5!");
    }
}
