package org.apricotstack.core.upstream;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.DrainTable.Listing;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DrainTableTest {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final UpstreamId NEXT_INCARNATION = new UpstreamId("upstream", 2);

    private final DrainTable table = new DrainTable();

    private void expire(Listing listing, long nowMillis) {
        table.expire(upstream -> listing, nowMillis);
    }

    @Test
    void recordsAnAnnouncedDrain() {
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000))
                .isEqualTo(DrainChange.BEGAN);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 950, 1_100))
                .isEqualTo(DrainChange.NONE);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
        assertThat(table.find(UPSTREAM)).isEqualTo(new AnnouncedDrain(1_000, 1_100));
    }

    @Test
    void appliesToOneIncarnationOnly() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        assertThat(table.isDraining(NEXT_INCARNATION)).isFalse();
    }

    @Test
    void keepsADrainOnResponsesToRequestsSentBeforeTheLastAnnouncement() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.SERVING, 1_000, 1_200))
                .isEqualTo(DrainChange.NONE);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
    }

    @Test
    void endsADrainOnAResponseToALaterRequest() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.SERVING, 1_001, 1_200))
                .isEqualTo(DrainChange.ENDED);
        assertThat(table.isDraining(UPSTREAM)).isFalse();
    }

    @Test
    void keepsADrainOnResponsesThatDoNotMentionIt() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.ABSENT, 2_000, 2_100))
                .isEqualTo(DrainChange.NONE);
        assertThat(table.answerReceived(UPSTREAM, AdvertisedDrain.UNREADABLE, 2_000, 2_100))
                .isEqualTo(DrainChange.NONE);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
    }

    @Test
    void acceptsADrainReportedByAPeerUnlessItIsOlderThanItsEnd() {
        assertThat(table.reportedByPeer(UPSTREAM, 1_000, 1_010)).isEqualTo(DrainChange.BEGAN);
        assertThat(table.drainEnded(UPSTREAM, 1_500)).isEqualTo(DrainChange.ENDED);
        assertThat(table.reportedByPeer(UPSTREAM, 1_400, 1_600)).isEqualTo(DrainChange.NONE);
        assertThat(table.reportedByPeer(UPSTREAM, 1_501, 1_600)).isEqualTo(DrainChange.BEGAN);
    }

    @Test
    void dropsADrainThatThePlatformContradictsForAMinute() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        expire(Listing.SERVING, 1_000 + DrainTable.CONTRADICTED_MILLIS - 1);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
        expire(Listing.SERVING, 1_000 + DrainTable.CONTRADICTED_MILLIS);
        assertThat(table.isDraining(UPSTREAM)).isFalse();
        assertThat(table.reportedByPeer(UPSTREAM, 1_000, 70_000)).isEqualTo(DrainChange.NONE);
    }

    @Test
    void keepsADrainWhileThePlatformIsUnavailableOrListsTheUpstreamAsDraining() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        for (long now = 1_000; now < 600_000; now += 250) {
            expire(Listing.DRAINING_OR_UNKNOWN, now);
        }
        assertThat(table.isDraining(UPSTREAM)).isTrue();
        expire(Listing.SERVING, 600_000);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
    }

    @Test
    void keepsTheDrainOfAnUnlistedUpstreamForAMinute() {
        table.answerReceived(UPSTREAM, AdvertisedDrain.DRAINING, 900, 1_000);
        expire(Listing.ABSENT, 60_999);
        assertThat(table.isDraining(UPSTREAM)).isTrue();
        expire(Listing.ABSENT, 61_000);
        assertThat(table.isEmpty()).isTrue();
    }
}
