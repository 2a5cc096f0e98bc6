package org.apricotstack.serving.run;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apricotstack.serving.BoundedThread;
import org.apricotstack.serving.ForeignBytes;

import static org.assertj.core.api.Assertions.assertThat;

/** Event streams that no upstream should send. */
class EventSplitterFuzzTest {

    private static final byte[] EVENTS =
            "id: 1\ndata: a\n\n: comment\n\nid: 9223372036854775807\r\ndata: b\r\n\r\nid:-1\n\ndata: partial"
                    .getBytes(StandardCharsets.UTF_8);

    @Property(seed = "67")
    void forwardsEachByteOfACompleteEventOnce(@ForAll long seed) {
        BoundedThread.run(() -> split(new ForeignBytes(seed)));
    }

    private static void split(ForeignBytes foreign) {
        byte[] bytes = foreign.next(EVENTS);
        EventSplitter splitter = new EventSplitter();
        StreamProgress progress = new StreamProgress(null);
        ByteBuf forwarded = Unpooled.buffer();
        for (int at = 0; at < bytes.length; ) {
            int piece = foreign.nextPiece(bytes.length - at);
            boolean fits = splitter.feed(Unpooled.wrappedBuffer(bytes, at, piece), event -> {
                forwarded.writeBytes(event.bytes());
                event.bytes().release();
                progress.skipsEvents(event.id());
                if (progress.isNext(event.id())) {
                    progress.eventForwarded(event.id(), 0);
                }
            });
            assertThat(fits).isTrue();
            at += piece;
        }
        assertThat(forwarded).isEqualTo(Unpooled.wrappedBuffer(bytes, 0, forwarded.readableBytes()));
        assertThat(splitter.hasPartialEvent()).isEqualTo(forwarded.readableBytes() < bytes.length);
    }
}
