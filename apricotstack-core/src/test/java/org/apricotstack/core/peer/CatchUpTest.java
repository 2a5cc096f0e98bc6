package org.apricotstack.core.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CatchUpTest {

    private final CatchUp catchUp = new CatchUp();

    private static Peer peer(String host, long configuration, long upstreams) {
        Address address = new Address("127.0.0.1", 1);
        return new Peer(
                new ProcessId(new HostId(host), 1),
                new DataCentreId("a"),
                address,
                address,
                true,
                configuration,
                upstreams,
                100,
                0,
                true,
                500);
    }

    /**
     * Symptom: a router used an old configuration for five seconds though two peers had the new one. Sequence:
     * heartbeats
     * of peers that know it alternate with heartbeats of a peer that does not. Cause: each of the latter reset the time
     * since which the router counted as behind, so it never asked.
     */
    @Test
    void staysBehindThoughAnotherPeerKnowsNoMore() {
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 24, 7, 0)).isFalse();
        assertThat(catchUp.shouldAsk(peer("equal", 24, 7), 24, 7, 100)).isFalse();
        assertThat(catchUp.shouldAsk(peer("equal", 24, 7), 24, 7, 300)).isFalse();
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 24, 7, 500)).isTrue();
    }

    @Test
    void leavesThePlatformTheTimeToTell() {
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 24, 7, 0)).isFalse();
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 25, 7, 500)).isFalse();
        assertThat(catchUp.shouldAsk(peer("ahead", 26, 7), 25, 7, 600)).isFalse();
    }

    @Test
    void asksAtOnceIfItKnowsNothingAndThenNotTooOften() {
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 0, 0, 0)).isTrue();
        catchUp.asked(0);
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 0, 0, CatchUp.ASK_MILLIS - 1))
                .isFalse();
        assertThat(catchUp.shouldAsk(peer("ahead", 25, 7), 0, 0, CatchUp.ASK_MILLIS))
                .isTrue();
    }

    @Test
    void asksForUpstreamsToo() {
        assertThat(catchUp.shouldAsk(peer("ahead", 24, 9), 24, 7, 0)).isFalse();
        assertThat(catchUp.shouldAsk(peer("ahead", 24, 9), 24, 7, 500)).isTrue();
    }
}
