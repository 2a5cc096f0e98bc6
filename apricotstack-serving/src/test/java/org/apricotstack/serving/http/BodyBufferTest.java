package org.apricotstack.serving.http;

import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class BodyBufferTest {

    private static final int BODY_BYTES = 1_000_000;

    /** Less than a hundredth of the pieces of one byte. */
    private static final int MAX_COMPONENTS = 1_000;

    private final BodyBuffer buffer = new BodyBuffer();

    private void append(byte[] bytes, int from, int length) {
        ByteBuf piece = Unpooled.copiedBuffer(bytes, from, length);
        buffer.append(piece);
        piece.release();
    }

    /** Guards against a body whose small pieces fill the heap. */
    @ParameterizedTest
    @ValueSource(ints = {1, 16, 1_023, 1_024, 4_096})
    void keepsFewComponentsWhateverTheLengthOfThePieces(int pieceBytes) {
        byte[] bytes = new byte[BODY_BYTES];
        new Random(1).nextBytes(bytes);
        for (int from = 0; from < BODY_BYTES; from += pieceBytes) {
            append(bytes, from, Math.min(pieceBytes, BODY_BYTES - from));
        }
        assertThat(buffer.readableBytes()).isEqualTo(BODY_BYTES);
        CompositeByteBuf whole = (CompositeByteBuf) buffer.take();
        assertThat(whole.numComponents()).isLessThan(MAX_COMPONENTS);
        assertThat(ByteBufUtil.getBytes(whole)).isEqualTo(bytes);
        whole.release();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsTheOrderOfPiecesOfAnyLength(long seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[BODY_BYTES];
        random.nextBytes(bytes);
        int from = 0;
        while (from < BODY_BYTES) {
            int length = Math.min(BODY_BYTES - from, 1 + random.nextInt(random.nextBoolean() ? 10 : 5_000));
            append(bytes, from, length);
            from += length;
        }
        ByteBuf whole = buffer.take();
        assertThat(ByteBufUtil.getBytes(whole)).isEqualTo(bytes);
        whole.release();
    }

    @Test
    void isEmptyOnceTaken() {
        append(new byte[] {1}, 0, 1);
        buffer.take().release();
        assertThat(buffer.readableBytes()).isZero();
        assertThat(buffer.take().isReadable()).isFalse();
    }

    @Test
    void releasesWhatIsDropped() {
        ByteBuf piece = Unpooled.buffer(2_000).writeZero(2_000);
        buffer.append(piece);
        assertThat(piece.refCnt()).isEqualTo(2);
        buffer.drop();
        assertThat(piece.refCnt()).isEqualTo(1);
        piece.release();
    }
}
