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
        assertThat(replies.begin(LARGE, 0)).isTrue();
        assertThat(replies.begin(LARGE, 0)).isTrue();
        assertThat(replies.begin(LARGE, 0)).isFalse();
        replies.end(LARGE, 0);
        assertThat(replies.begin(LARGE, 0)).isTrue();
    }

    @Test
    void alwaysSendsSmallReplies() {
        replies.begin(LARGE, 0);
        replies.begin(LARGE, 0);
        assertThat(replies.begin(SMALL, 0)).isTrue();
        replies.end(SMALL, 0);
        assertThat(replies.begin(LARGE, 0)).isFalse();
    }

    /** Guards against a router that passes on nothing any more, as two routers died while they were sent a reply. */
    @Test
    void sendsLargeRepliesAgainAfterTwoThatDoNotEnd() {
        replies.begin(LARGE, 0);
        replies.begin(LARGE, 1);
        assertThat(replies.begin(LARGE, 3_999)).isFalse();
        assertThat(replies.begin(LARGE, 4_000)).isTrue();
        replies.end(LARGE, 0);
        assertThat(replies.begin(LARGE, 4_000)).isFalse();
        assertThat(replies.begin(LARGE, 4_001)).isTrue();
    }
}
