package org.apricotstack.serving.run;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a body into whole events.
 *
 * <p>An upstream can stop in the middle of an event. Passing the half on would join it to the first event of the
 * upstream at which the stream goes on, so only whole events leave.
 */
final class EventSplitter {

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private ByteBuf held = Unpooled.buffer();

    /**
     * One event.
     *
     * @param bytes the event with the empty line that ends it; the receiver owns it
     * @param id its number, or a negative number if it has none
     */
    record Event(ByteBuf bytes, long id) {}

    /** Takes bytes and hands whole events on. */
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

    /** Tells whether a part of an event is held. */
    boolean hasPartialEvent() {
        return held.isReadable();
    }

    /** Reads the number of an event. */
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
