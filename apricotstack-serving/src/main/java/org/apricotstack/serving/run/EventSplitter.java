package org.apricotstack.serving.run;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits a response body into complete server-sent events.
 *
 * <p>An upstream can fail in the middle of an event. If the partial event were forwarded, it would be joined to the
 * first event from the upstream that resumes the stream, so only complete events are forwarded.
 */
final class EventSplitter {

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private ByteBuf held = Unpooled.buffer();

    /**
     * One event.
     *
     * @param bytes the event, including the empty line that ends it; the receiver releases it
     * @param id sequence number of the event; negative if it has none
     */
    record Event(ByteBuf bytes, long id) {}

    /** Adds bytes and passes each complete event to the consumer. */
    void feed(ByteBuf data, Consumer<Event> events) {
        held.writeBytes(data);
        int begin = held.readerIndex();
        int lineStart = begin;
        for (int i = begin; i < held.writerIndex(); i++) {
            if (held.getByte(i) != NEWLINE) {
                continue;
            }
            boolean empty = i == lineStart || i == lineStart + 1 && held.getByte(lineStart) == RETURN;
            lineStart = i + 1;
            if (empty) {
                ByteBuf event = held.readBytes(lineStart - held.readerIndex());
                events.accept(new Event(event, idOf(event)));
            }
        }
        held.discardReadBytes();
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return held.isReadable();
    }

    /** Parses the sequence number of an event. */
    private static long idOf(ByteBuf event) {
        for (String line : event.toString(StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                try {
                    return Long.parseLong(line.substring(ID_FIELD.length()).trim());
                } catch (NumberFormatException e) {
                    return -1;
                }
            }
        }
        return -1;
    }
}
