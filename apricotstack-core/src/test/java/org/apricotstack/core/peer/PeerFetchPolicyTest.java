package org.apricotstack.core.peer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerFetchPolicyTest {

    private final PeerFetchPolicy policy = new PeerFetchPolicy();

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
     * Guards against a router that used an old configuration for five seconds although two peers had the new one.
     * Heartbeats of peers with the new configuration alternated with heartbeats of a peer without it, and each of the
     * latter reset the time since which the router counted as behind, so that it never fetched.
     */
    @Test
    void staysBehindIfAnotherPeerHasNothingNewer() {
        assertThat(policy.shouldFetch(peer("ahead", 25, 7), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 0))
                .isFalse();
        assertThat(policy.shouldFetch(peer("equal", 24, 7), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 100))
                .isFalse();
        assertThat(policy.shouldFetch(peer("equal", 24, 7), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 300))
                .isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 25, 7), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 500))
                .isTrue();
    }

    @Test
    void waitsForThePlatformFirst() {
        assertThat(policy.shouldFetch(peer("ahead", 25, 7), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 0))
                .isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 25, 7), 25, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 500))
                .isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 26, 7), 25, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 600))
                .isFalse();
    }

    @Test
    void fetchesAtOnceIfEmptyAndThenNotTooOften() {
        assertThat(policy.shouldFetch(peer("ahead", 25, 7), 0, 0, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 0))
                .isTrue();
        policy.fetchStarted(0);
        assertThat(policy.shouldFetch(
                        peer("ahead", 25, 7),
                        0,
                        0,
                        PeerFetchPolicy.PLATFORM_GRACE_MILLIS,
                        PeerFetchPolicy.FETCH_INTERVAL_MILLIS - 1))
                .isFalse();
        assertThat(policy.shouldFetch(
                        peer("ahead", 25, 7),
                        0,
                        0,
                        PeerFetchPolicy.PLATFORM_GRACE_MILLIS,
                        PeerFetchPolicy.FETCH_INTERVAL_MILLIS))
                .isTrue();
    }

    @Test
    void fetchesUpstreamsToo() {
        assertThat(policy.shouldFetch(peer("ahead", 24, 9), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 0))
                .isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 24, 9), 24, 7, PeerFetchPolicy.PLATFORM_GRACE_MILLIS, 500))
                .isTrue();
    }

    /**
     * Guards against a router of a large fleet that fetched the whole list from a peer at each change. It polls the
     * platform once a second, but asked a peer that had received a change earlier after only 200 ms.
     */
    @Test
    void waitsLongerIfThePlatformIsPolledLessOften() {
        assertThat(policy.shouldFetch(peer("ahead", 24, 9), 24, 7, 1_200, 0)).isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 24, 9), 24, 7, 1_200, 1_100))
                .isFalse();
        assertThat(policy.shouldFetch(peer("ahead", 24, 9), 24, 7, 1_200, 1_200))
                .isTrue();
    }
}
