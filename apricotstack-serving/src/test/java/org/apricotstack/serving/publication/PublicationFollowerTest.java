package org.apricotstack.serving.publication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.apache.commons.rng.core.source64.SplitMix64;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class PublicationFollowerTest {

    private static final long SEED = 1;
    private static final String UNREADABLE = "unreadable";

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final PublishedState state = new PublishedState(
            new NameAndRevisionDecoder(), new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    /** Decodes documents of which only the name and revision matter. */
    private static final class NameAndRevisionDecoder implements PublicationDecoder {
        @Override
        public ServingConfiguration configuration(Publication document) {
            throw new AssertionError("No configuration is published here.");
        }

        @Override
        public UpstreamEntry upstream(Publication document) {
            if (document.upstream().value().equals(UNREADABLE)) {
                throw new ApricotException(ErrorCode.PLATFORM_PROTOCOL, "The entry cannot be read; replace it.");
            }
            return new UpstreamEntry(
                    document.upstream(),
                    new ServiceId("service"),
                    new Address("127.0.0.1", 1),
                    new DataCentreId("east"),
                    4,
                    false,
                    document.revision());
        }
    }

    /** A platform whose watches require the next snapshot at once, until there is none. */
    private static final class SnapshotSource implements PublicationSource {

        private final Queue<Snapshot> snapshots;

        SnapshotSource(Snapshot... snapshots) {
            this.snapshots = new ArrayDeque<>(List.of(snapshots));
        }

        @Override
        public Mono<Snapshot> readAll() {
            return Mono.just(snapshots.remove());
        }

        @Override
        public Mono<Check> check() {
            throw new AssertionError("Nothing is checked here.");
        }

        @Override
        public Mono<Changes> awaitChanges(long after, long waitMillis) {
            return snapshots.isEmpty() ? Mono.never() : Mono.just(new Changes(after, List.of(), true));
        }
    }

    private static Publication upstream(String name, long revision) {
        return new Publication(new UpstreamId(name), revision, new byte[0], false);
    }

    private static Publication evacuation(long revision) {
        return new Publication(null, new DataCentreId("west"), revision, new byte[0], false);
    }

    private void follow(PublicationSource.Snapshot... snapshots) {
        new PublicationFollower(loop, new SnapshotSource(snapshots), state, log, new SplitMix64(SEED))
                .start(new OnlyReader());
    }

    /** Guards against a list of upstreams that is dropped for a newer entry that cannot be read. */
    @Test
    void readsUpstreamsBesideANewerEntryThatCannotBeRead() {
        follow(new PublicationSource.Snapshot(3, List.of(upstream("a", 1), upstream(UNREADABLE, 9))));
        assertThat(state.upstreamsListed()).isEqualTo(1);
        assertThat(state.upstreamsRevision()).isLessThanOrEqualTo(3);
        assertThat(state.rejected()).isEqualTo(1);
    }

    /** Guards against requests that are sent again into a data centre whose evacuation the same list reports. */
    @Test
    void knowsOfNewEvacuationsBeforeRequestsOfRemovedUpstreamsAreSentAgain() {
        List<Integer> inForce = new ArrayList<>();
        state.evacuations().follow(true);
        state.onUpstreamRemoved(ended -> inForce.add(state.evacuations().all().size()));
        follow(
                new PublicationSource.Snapshot(2, List.of(upstream("a", 1), upstream("b", 2))),
                new PublicationSource.Snapshot(4, List.of(upstream("a", 1), evacuation(4))));
        assertThat(inForce).containsExactly(1);
    }

    /** Guards against the loss of live upstreams that an older copy of the platform with an evacuation lacks. */
    @Test
    void holdsUpstreamsThatAnOlderCopyWithAnEvacuationLacks() {
        state.evacuations().follow(true);
        follow(
                new PublicationSource.Snapshot(
                        Revisions.of(1, 3),
                        List.of(
                                upstream("a", Revisions.of(1, 1)),
                                evacuation(Revisions.of(1, 2)),
                                upstream("b", Revisions.of(1, 3)))),
                new PublicationSource.Snapshot(
                        Revisions.of(2, 2),
                        List.of(upstream("a", Revisions.of(2, 1)), evacuation(Revisions.of(2, 2)))));
        assertThat(state.upstreamsListed()).isEqualTo(2);
        state.removeExpired(UpstreamTable.MISSING_GRACE_MILLIS);
        assertThat(state.upstreamsListed()).isEqualTo(1);
    }
}
