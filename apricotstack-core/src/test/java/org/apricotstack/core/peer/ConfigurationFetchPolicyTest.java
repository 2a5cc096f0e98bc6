package org.apricotstack.core.peer;

import java.util.OptionalLong;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationFetchPolicyTest {

    private static final boolean LOCAL = true;
    private static final boolean FOLLOWS_PLATFORM = true;

    private final ConfigurationFetchPolicy policy = new ConfigurationFetchPolicy();

    private static Peer peer(String host, long configurationVersion) {
        Address address = new Address("127.0.0.1", 1);
        return new Peer(
                new ProcessId(new HostId(host), 1),
                new DataCentreId("east"),
                address,
                address,
                true,
                configurationVersion,
                1,
                75,
                0,
                true,
                500);
    }

    private String askedAt(long nowMillis) {
        return policy.fetchStarted(nowMillis).orElseThrow().process().host().value();
    }

    @Test
    void fetchesNothingFromPeersThatHaveNoNewerConfiguration() {
        policy.recordPeer(peer("same", 4), LOCAL, 4, 0);
        policy.recordPeer(peer("older", 3), LOCAL, 4, 0);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isEmpty();
        assertThat(policy.fetchStarted(0)).isEmpty();
    }

    @Test
    void fetchesAtOnceFromItsDataCentreAndSoonAfterFromOthers() {
        policy.recordPeer(peer("remote", 5), !LOCAL, 4, 10);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM))
                .isEqualTo(OptionalLong.of(10 + ConfigurationFetchPolicy.REMOTE_GRACE_MILLIS));
        policy.recordPeer(peer("local", 5), LOCAL, 4, 20);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isEqualTo(OptionalLong.of(20));
        assertThat(askedAt(20)).isEqualTo("local");
    }

    @Test
    void givesTheWatchOfAReaderTheTimeToReportTheChange() {
        policy.recordPeer(peer("local", 5), LOCAL, 4, 10);
        assertThat(policy.dueMillis(FOLLOWS_PLATFORM))
                .isEqualTo(OptionalLong.of(10 + PeerFetchPolicy.PLATFORM_GRACE_MILLIS));
    }

    /** Guards against a fetch that waits for a heartbeat or for the peer that was asked first. */
    @Test
    void asksAnotherPeerWhileTheFirstFetchIsUnanswered() {
        policy.recordPeer(peer("first", 5), LOCAL, 4, 0);
        policy.recordPeer(peer("second", 5), LOCAL, 4, 1);
        assertThat(askedAt(0)).isEqualTo("first");
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM))
                .isEqualTo(OptionalLong.of(ConfigurationFetchPolicy.HEDGE_MILLIS));
        assertThat(askedAt(ConfigurationFetchPolicy.HEDGE_MILLIS)).isEqualTo("second");
    }

    @Test
    void keepsTheTimeOfTheFirstReportIfAPeerReportsAgain() {
        policy.recordPeer(peer("remote", 5), !LOCAL, 4, 0);
        policy.recordPeer(peer("remote", 6), !LOCAL, 4, 90);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM))
                .isEqualTo(OptionalLong.of(ConfigurationFetchPolicy.REMOTE_GRACE_MILLIS));
    }

    @Test
    void asksAgainAtOnceForAVersionThatFollowsTheFetchedOne() {
        policy.recordPeer(peer("local", 5), LOCAL, 4, 0);
        askedAt(0);
        policy.recordPeer(peer("local", 6), LOCAL, 4, 3);
        policy.inForce(5);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isEqualTo(OptionalLong.of(0));
        policy.inForce(6);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isEmpty();
    }

    @Test
    void forgetsAPeerThatCameBackWithAnOlderConfiguration() {
        policy.recordPeer(peer("restarted", 5), LOCAL, 4, 0);
        policy.recordPeer(peer("restarted", 3), LOCAL, 4, 10);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isEmpty();
    }

    /** Guards against fetches without end from a peer that has ended. */
    @Test
    void givesUpAPeerThatNeverAnswersUntilItReportsAgain() {
        policy.recordPeer(peer("ended", 5), LOCAL, 4, 0);
        int fetches = 0;
        long now = 0;
        while (policy.dueMillis(!FOLLOWS_PLATFORM).isPresent()) {
            now = policy.dueMillis(!FOLLOWS_PLATFORM).getAsLong();
            askedAt(now);
            fetches++;
            assertThat(fetches).isLessThanOrEqualTo(10);
        }
        policy.recordPeer(peer("ended", 5), LOCAL, 4, now + 1);
        assertThat(policy.dueMillis(!FOLLOWS_PLATFORM)).isPresent();
    }

    @Test
    void knowsWhetherItsDataCentreHadAVersionBefore() {
        policy.recordPeer(peer("remote", 5), !LOCAL, 4, 0);
        assertThat(policy.isKnownLocally(5)).isFalse();
        policy.recordPeer(peer("local", 5), LOCAL, 4, 0);
        assertThat(policy.isKnownLocally(5)).isTrue();
        assertThat(policy.isKnownLocally(6)).isFalse();
    }
}
