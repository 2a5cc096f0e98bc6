package org.apricotstack.serving.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.util.ReferenceCountUtil;

/** Messages of pipelined requests that arrived before the response to an earlier one. */
final class PipelinedMessages {

    /** Number of messages that are buffered; reading pauses beyond that. */
    private static final int MAX_MESSAGES = 32;

    private final Deque<Object> messages = new ArrayDeque<>();

    /** Adds a message that was read from a channel. */
    void add(Object message, Channel channel) {
        messages.addLast(message);
        if (messages.size() > MAX_MESSAGES) {
            channel.config().setAutoRead(false);
        }
    }

    /** Returns whether there is no message. */
    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Removes and returns the first message. */
    Object poll() {
        return messages.pollFirst();
    }

    /** Passes each message to an action and keeps it. */
    void forEach(Consumer<Object> action) {
        messages.forEach(action);
    }

    /** Releases all messages. */
    void release() {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
    }
}
