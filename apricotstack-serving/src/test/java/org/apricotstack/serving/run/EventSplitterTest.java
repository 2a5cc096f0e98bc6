package org.apricotstack.serving.run;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {

    private static final String EVENTS = "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\ndata: partial";

    private final EventSplitter splitter = new EventSplitter();
    private final List<String> events = new ArrayList<>();
    private final List<Long> ids = new ArrayList<>();
    private final List<Boolean> comments = new ArrayList<>();

    private boolean feed(String text) {
        ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        return splitter.feed(bytes, event -> {
            events.add(event.bytes().toString(StandardCharsets.US_ASCII));
            ids.add(event.id());
            comments.add(event.comment());
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1_000})
    void findsTheSameEventsHoweverTheBytesAreSplit(int pieceLength) {
        for (int i = 0; i < EVENTS.length(); i += pieceLength) {
            assertThat(feed(EVENTS.substring(i, Math.min(EVENTS.length(), i + pieceLength))))
                    .isTrue();
        }
        assertThat(events).containsExactly("id: 1\ndata: a\n\n", ": comment\n\n", "id: 2\r\ndata: b\r\n\r\n");
        assertThat(ids).containsExactly(1L, -1L, 2L);
        assertThat(comments).containsExactly(false, true, false);
        assertThat(splitter.hasPartialEvent()).isTrue();
    }

    /** Guards against an event without an end, of which each byte was searched again whenever another one arrived. */
    @Test
    void rejectsAnEventThatIsTooLarge() {
        for (int i = 0; i < EventSplitter.MAX_EVENT_BYTES; i++) {
            assertThat(feed("x")).isTrue();
        }
        assertThat(feed("x")).isFalse();
        assertThat(events).isEmpty();
    }
}
