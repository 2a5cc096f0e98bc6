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

    /** Largest event, in bytes; upstreams send events of some hundred bytes. */
    static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';
    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";

    private final ByteBuf held = Unpooled.buffer();

    /** Number of held bytes that were searched for the end of an event. */
    private int searchedBytes;

    /** Number of held bytes before the line that is being searched. */
    private int lineStart;

    /**
     * One event.
     *
     * @param bytes the event, including the empty line that ends it; the receiver releases it
     * @param id sequence number of the event; negative if it has none
     * @param comment whether it consists of comments only, which keep a connection open but are no progress
     */
    record Event(ByteBuf bytes, long id, boolean comment) {}

    /**
     * Adds bytes and passes each complete event to the consumer.
     *
     * @return whether the rest may still become an event; {@code false} if it is too large
     */
    boolean feed(ByteBuf data, Consumer<Event> events) {
        held.writeBytes(data);
        while (searchedBytes < held.readableBytes()) {
            if (byteAt(searchedBytes++) == NEWLINE) {
                lineEnded(events);
            }
        }
        held.discardReadBytes();
        return held.readableBytes() <= MAX_EVENT_BYTES;
    }

    /** Processes the end of a line, which is the end of an event if the line is empty. */
    private void lineEnded(Consumer<Event> events) {
        int length = searchedBytes - 1 - lineStart;
        boolean empty = length == 0 || length == 1 && byteAt(lineStart) == RETURN;
        lineStart = searchedBytes;
        if (empty) {
            ByteBuf event = held.readBytes(searchedBytes);
            searchedBytes = 0;
            lineStart = 0;
            events.accept(parse(event));
        }
    }

    /** Returns a held byte. */
    private byte byteAt(int offset) {
        return held.getByte(held.readerIndex() + offset);
    }

    /** Returns whether the buffer holds a partial event. */
    boolean hasPartialEvent() {
        return held.isReadable();
    }

    /** Parses a complete event. */
    private static Event parse(ByteBuf bytes) {
        long id = -1;
        boolean comment = true;
        for (String line : bytes.toString(StandardCharsets.UTF_8).split("\r?\n")) {
            comment &= line.startsWith(COMMENT);
            if (line.startsWith(ID_FIELD)) {
                id = sequenceNumber(line.substring(ID_FIELD.length()).trim());
            }
        }
        return new Event(bytes, id, comment);
    }

    /** Parses a sequence number; negative if it is none. */
    private static long sequenceNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
