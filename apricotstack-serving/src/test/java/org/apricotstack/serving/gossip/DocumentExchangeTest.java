package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.core.upstream.EvacuationTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.serving.publication.PublicationDecoder;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.NewsReply;
import org.apricotstack.wire.news.PublishedDocument;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentExchangeTest {

    private static final Address ANY = new Address("127.0.0.1", 1);

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final PublishedState ownState = state();
    private final PublishedState readerState = state();
    private final DocumentExchange own = new DocumentExchange(loop, ownState, log, () -> {});
    private final DocumentExchange reader = new DocumentExchange(loop, readerState, log, () -> {});

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
            return new UpstreamEntry(
                    document.upstream(),
                    new ServiceId("service"),
                    ANY,
                    new DataCentreId("east"),
                    4,
                    false,
                    document.revision());
        }
    }

    private PublishedState state() {
        return new PublishedState(
                new NameAndRevisionDecoder(), new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
    }

    private static Publication upstream(String name, long revision) {
        return new Publication(new UpstreamId(name), revision, new byte[0], false);
    }

    private static Publication removal(String name, long revision) {
        return new Publication(new UpstreamId(name), revision, new byte[0], true);
    }

    private void list(PublishedState state) {
        state.applyUpstreamSnapshot(List.of(upstream("a", 1), upstream("b", 2), upstream("c", 3)), 3, "platform", 0);
    }

    private static DocumentRequest newerThan(long revision) {
        return DocumentRequest.newBuilder()
                .setUpstreamsRevision(revision)
                .setNewerOnly(true)
                .build();
    }

    private static Peer peer(long upstreamsRevision) {
        return new Peer(
                new ProcessId(new HostId("reader"), 1),
                new DataCentreId("east"),
                ANY,
                ANY,
                true,
                0,
                upstreamsRevision,
                100,
                0,
                true,
                500);
    }

    @Test
    void appliesChangesAndRemovals() {
        list(ownState);
        list(readerState);
        readerState.apply(upstream("b", 4), "platform");
        readerState.apply(removal("c", 5), "platform");
        readerState.apply(upstream("d", 6), "platform");
        NewsReply reply = reader.answer(newerThan(3));
        assertThat(reply.getUpstreamsList())
                .extracting(PublishedDocument::getName)
                .containsExactlyInAnyOrder("b", "d");
        own.receive(reply, "reader");
        assertThat(ownState.upstreamDocuments())
                .extracting(document -> document.upstream().value())
                .containsExactlyInAnyOrder("a", "b", "d");
        assertThat(ownState.upstreamsRevision()).isEqualTo(6);
    }

    /**
     * Guards against requests to an upstream that did not come back after an outage of the platform. The platform
     * reader of the data centre removes the entry, but no later change is published, and the router asked only for
     * documents with a newer revision.
     */
    @Test
    void learnsOfAnEntryThatDidNotComeBack() {
        list(ownState);
        list(readerState);
        readerState.platformReturned(0);
        readerState.applyUpstreamSnapshot(List.of(upstream("a", 1), upstream("b", 2)), 3, "platform", 0);
        assertThat(own.hasDifferentUpstreams(peer(3), readerState.upstreamsListed()))
                .isFalse();
        readerState.removeExpired(UpstreamTable.MISSING_GRACE_MILLIS);
        assertThat(own.hasDifferentUpstreams(peer(3), readerState.upstreamsListed()))
                .isTrue();
        own.receive(reader.answer(newerThan(2)), "reader");
        assertThat(ownState.upstreamsListed()).isEqualTo(2);
        assertThat(own.hasDifferentUpstreams(peer(3), readerState.upstreamsListed()))
                .isFalse();
    }

    @Test
    void changesNothingIfItLacksANamedEntry() {
        list(readerState);
        ownState.applyUpstreamSnapshot(List.of(upstream("a", 1)), 3, "platform", 0);
        own.receive(reader.answer(newerThan(2)), "reader");
        assertThat(ownState.upstreamsListed()).isEqualTo(1);
        own.receive(reader.answer(DocumentRequest.newBuilder().build()), "reader");
        assertThat(ownState.upstreamsListed()).isEqualTo(3);
    }

    private static Publication evacuation(String dataCentre, long revision, boolean removed) {
        return new Publication(null, new DataCentreId(dataCentre), revision, new byte[0], removed);
    }

    /** Lists upstreams at two routers that follow evacuations. */
    private void listAndFollowEvacuations() {
        for (PublishedState state : List.of(ownState, readerState)) {
            state.evacuations().follow(true);
            list(state);
        }
        readerState.evacuations().receive(List.of(), 3, "platform", 0);
    }

    @Test
    void learnsOfTheBeginAndTheEndOfAnEvacuation() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        assertThat(readerState.upstreamsRevision()).isEqualTo(4);
        own.receive(reader.answer(newerThan(2)), "reader");
        assertThat(ownState.evacuations().all()).containsExactly(Evacuation.listed(new DataCentreId("east"), 4));
        assertThat(ownState.upstreamsRevision()).isEqualTo(4);
        readerState.apply(evacuation("east", 5, true), "platform");
        own.receive(reader.answer(newerThan(3)), "reader");
        assertThat(ownState.evacuations().all()).isEmpty();
    }

    /** Guards against the end of an evacuation that only a full read shows, and of which other routers never learn. */
    @Test
    void learnsOfTheEndThatAnotherRouterFoundInAFullRead() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        own.receive(reader.answer(newerThan(2)), "reader");
        readerState.evacuations().applySnapshot(List.of(), 6, "platform", 0);
        assertThat(readerState.upstreamsRevision()).isEqualTo(6);
        own.receive(reader.answer(newerThan(3)), "reader");
        assertThat(ownState.evacuations().all()).isEmpty();
    }

    /** Guards against a list that counts as complete up to an evacuation that was read after it. */
    @Test
    void countsNoListAsCompleteUpToALaterEvacuation() {
        listAndFollowEvacuations();
        readerState.evacuations().applySnapshot(List.of(evacuation("east", 8, false)), 3, "platform", 0);
        assertThat(readerState.evacuations().all()).hasSize(1);
        assertThat(readerState.upstreamsRevision()).isEqualTo(3);
        readerState.apply(evacuation("east", 8, false), "platform");
        assertThat(readerState.upstreamsRevision()).isEqualTo(8);
    }

    @Test
    void learnsForHowLongALostEvacuationStaysInForce() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        readerState.applyUpstreamSnapshot(
                List.of(upstream("a", Revisions.of(1, 1))), Revisions.of(1, 1), "platform", 0);
        readerState.evacuations().receive(List.of(), Revisions.of(1, 1), "platform", -1_000);
        own.receive(reader.answer(DocumentRequest.getDefaultInstance()), "reader");
        assertThat(ownState.evacuations().all())
                .containsExactly(new Evacuation(new DataCentreId("east"), 4, EvacuationTable.LOST_HOLD_MILLIS - 1_000));
    }

    /**
     * Guards against the end of an evacuation because a list of a router that does not follow evacuations raised the
     * revision of the upstreams.
     */
    @Test
    void endsNoEvacuationThatOnlyAListWithoutEvacuationsLacks() {
        listAndFollowEvacuations();
        ownState.evacuations().receive(List.of(), 3, "platform", 0);
        readerState.apply(evacuation("east", 4, false), "platform");
        own.receive(
                NewsReply.newBuilder()
                        .setUpstreamsRevision(6)
                        .addUpstreams(GossipMessages.document(upstream("d", 6)))
                        .build(),
                "older release");
        assertThat(ownState.upstreamsRevision()).isEqualTo(6);
        reader.receive(own.answer(newerThan(3)), "own");
        assertThat(readerState.upstreamsRevision()).isEqualTo(6);
        assertThat(readerState.evacuations().all()).hasSize(1);
    }

    /** Guards against a router that never gets ready because its first list came from one without evacuations. */
    @Test
    void fetchesMissingEvacuationsFromAPeerThatIsNotNewer() {
        listAndFollowEvacuations();
        assertThat(own.shouldFetch(peer(2), 0)).isFalse();
        assertThat(own.shouldFetch(peer(3), 0)).isTrue();
        own.receive(reader.answer(newerThan(2)), "reader");
        assertThat(ownState.evacuations().complete()).isTrue();
        assertThat(own.shouldFetch(peer(3), 0)).isFalse();
    }

    @Test
    void fetchesNothingFromAPeerThatIsNotNewerIfEvacuationsAreNotFollowed() {
        list(ownState);
        assertThat(own.shouldFetch(peer(3), 0)).isFalse();
    }

    /** Guards against a hold that goes on because the evacuation was requested again and removed unseen. */
    @Test
    void endsALostEvacuationThatAnotherRouterSawRemoved() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        own.receive(reader.answer(newerThan(2)), "reader");
        readerState.applyUpstreamSnapshot(
                List.of(upstream("a", Revisions.of(1, 1))), Revisions.of(1, 1), "platform", 0);
        readerState.evacuations().applySnapshot(List.of(), Revisions.of(1, 1), "platform", 0);
        own.receive(reader.answer(newerThan(3)), "reader");
        assertThat(ownState.evacuations().all()).hasSize(1);
        readerState.apply(evacuation("east", Revisions.of(1, 2), false), "platform");
        readerState.apply(evacuation("east", Revisions.of(1, 3), true), "platform");
        own.receive(reader.answer(DocumentRequest.getDefaultInstance()), "reader");
        assertThat(ownState.evacuations().all()).isEmpty();
    }

    @Test
    void sendsAtMostEightBytesMoreWithoutEvacuations() {
        listAndFollowEvacuations();
        readerState.evacuations().receive(List.of(), Revisions.of(100, 1L << 39), "platform", 0);
        NewsReply reply = reader.answer(newerThan(2));
        int without = reply.toBuilder().clearEvacuationsRevision().build().getSerializedSize();
        assertThat(reply.getSerializedSize() - without).isBetween(1, 8);
    }

    @Test
    void vouchesForEvacuationsUpToTheLatestChangeThatThePlatformReported() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        readerState.apply(evacuation("east", 5, true), "platform");
        readerState.apply(upstream("d", 6), "platform");
        assertThat(reader.answer(newerThan(3)).getEvacuationsRevision()).isEqualTo(5);
        own.receive(reader.answer(newerThan(3)), "reader");
        assertThat(own.answer(newerThan(3)).getEvacuationsRevision()).isEqualTo(5);
    }

    /** Guards against an evacuation that the platform lost and that stays in force forever. */
    @Test
    void endsALostEvacuationThatIsNotRequestedAgain() {
        listAndFollowEvacuations();
        readerState.apply(evacuation("east", 4, false), "platform");
        readerState.evacuations().receive(List.of(), Revisions.of(1, 1), "platform", 0);
        readerState.removeExpired(EvacuationTable.LOST_HOLD_MILLIS - 1);
        assertThat(readerState.evacuations().all()).hasSize(1);
        readerState.removeExpired(EvacuationTable.LOST_HOLD_MILLIS);
        assertThat(readerState.evacuations().all()).isEmpty();
    }

    /** Guards against a router that takes the list of one that does not follow evacuations for complete. */
    @Test
    void endsNoEvacuationThatAPeerDoesNotFollow() {
        listAndFollowEvacuations();
        ownState.apply(evacuation("east", 2, false), "platform");
        readerState.evacuations().follow(false);
        NewsReply silent = reader.answer(newerThan(2)).toBuilder()
                .clearEvacuationsRevision()
                .build();
        own.receive(silent, "reader");
        assertThat(ownState.evacuations().all()).hasSize(1);
        assertThat(ownState.evacuations().completeRevision()).isZero();
    }

    @Test
    void sendsNoByteMoreIfEvacuationsAreNotFollowed() {
        list(readerState);
        readerState.apply(evacuation("east", 4, false), "platform");
        NewsReply reply = reader.answer(newerThan(2));
        assertThat(reply.getEvacuationsRevision()).isZero();
        assertThat(reply.toBuilder().clearEvacuations().build().toByteString()).isEqualTo(reply.toByteString());
        assertThat(readerState.upstreamsRevision()).isEqualTo(3);
    }
}
