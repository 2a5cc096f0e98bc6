package org.apricotstack.serving.gossip;

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

    private int sending;

    /** Returns whether a reply may be sent now; the router that asked asks another one otherwise. */
    boolean begin(int bytes) {
        if (bytes <= LARGE_BYTES) {
            return true;
        }
        if (sending >= MAX_REPLIES) {
            return false;
        }
        sending++;
        return true;
    }

    /** Records that a reply was sent, or that its connection has ended. */
    void end(int bytes) {
        if (bytes > LARGE_BYTES) {
            sending--;
        }
    }
}
