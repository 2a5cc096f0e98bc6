package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits how many large replies are sent at the same time. If all routers start at once, the first one that has the
 * documents is asked by all others; the replies to all of them together would take so long that none of them could pass
 * the documents on meanwhile.
 */
final class LargeReplies {

    /** Size above which a reply is large, in bytes. */
    private static final int LARGE_BYTES = 64 * 1024;

    /** Maximum number of large replies that are sent at the same time; a slow receiver must not hold up all others. */
    private static final int MAX_REPLIES = 2;

    /** Time after which a reply no longer counts, in milliseconds, as its receiver may be frozen or dead. */
    private static final long MAX_SENDING_MILLIS = 4_000;

    private final List<Long> begunMillis = new ArrayList<>();

    /** Returns whether a reply may be sent now; the router that asked asks another one otherwise. */
    boolean begin(int bytes, long nowMillis) {
        if (bytes <= LARGE_BYTES) {
            return true;
        }
        begunMillis.removeIf(millis -> nowMillis - millis >= MAX_SENDING_MILLIS);
        if (begunMillis.size() >= MAX_REPLIES) {
            return false;
        }
        begunMillis.add(nowMillis);
        return true;
    }

    /** Records that a reply that was begun at a time was sent, or that its connection has ended. */
    void end(int bytes, long millis) {
        if (bytes > LARGE_BYTES) {
            begunMillis.remove(Long.valueOf(millis));
        }
    }
}
