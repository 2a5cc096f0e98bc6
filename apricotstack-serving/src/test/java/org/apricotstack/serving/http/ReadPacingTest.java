package org.apricotstack.serving.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator.ExtendedHandle;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadPacingTest {

    private static final int READ_BYTES = 2_048;

    private final ReadPacing pacing = new ReadPacing(new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(2));
    private final ExtendedHandle handle = (ExtendedHandle) pacing.newHandle();
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /** Reads the given number of bytes once; returns whether the connection reads on in the same turn. */
    private boolean turn(int bytes, int pieces) {
        handle.reset(channel.config());
        handle.attemptedBytesRead(bytes);
        handle.lastBytesRead(bytes);
        handle.incMessagesRead(1);
        pacing.count(pieces);
        boolean goesOn = handle.continueReading(() -> true);
        handle.readComplete();
        return goesOn;
    }

    @Test
    void readsOnWhileThePiecesOfATurnAreFew() {
        assertThat(turn(READ_BYTES, ReadPacing.MAX_PIECES - 1)).isTrue();
        assertThat(handle.guess()).isGreaterThanOrEqualTo(READ_BYTES);
    }

    /** Guards against a connection whose small pieces keep all others waiting. */
    @Test
    void readsLessOnceThePiecesAreSmall() {
        int pieceBytes = 6;
        assertThat(turn(READ_BYTES, READ_BYTES / pieceBytes)).isFalse();
        assertThat(handle.guess()).isBetween(ReadPacing.MIN_READ_BYTES, (ReadPacing.MAX_PIECES + 1) * pieceBytes);
    }

    @Test
    void readsAtLeastAFewBytes() {
        turn(READ_BYTES, 100 * READ_BYTES);
        assertThat(handle.guess()).isEqualTo(ReadPacing.MIN_READ_BYTES);
    }

    @Test
    void readsAsMuchAsBeforeOnceThePiecesAreLargeAgain() {
        turn(READ_BYTES, READ_BYTES);
        for (int i = 0; i < 10; i++) {
            turn(handle.guess(), 1);
        }
        assertThat(handle.guess()).isGreaterThanOrEqualTo(READ_BYTES);
    }
}
