package org.apricotstack.serving.gossip;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LargeRepliesTest {

    private static final int LARGE = 1024 * 1024;
    private static final int SMALL = 1024;

    private final LargeReplies replies = new LargeReplies();

    /** Guards against replies to all routers at once, none of which is complete in time. */
    @Test
    void sendsTwoLargeRepliesAtATime() {
        assertThat(replies.begin(LARGE)).isTrue();
        assertThat(replies.begin(LARGE)).isTrue();
        assertThat(replies.begin(LARGE)).isFalse();
        replies.end(LARGE);
        assertThat(replies.begin(LARGE)).isTrue();
    }

    @Test
    void alwaysSendsSmallReplies() {
        replies.begin(LARGE);
        replies.begin(LARGE);
        assertThat(replies.begin(SMALL)).isTrue();
        replies.end(SMALL);
        assertThat(replies.begin(LARGE)).isFalse();
    }
}
