package org.apricotstack.serving.gossip;

import java.util.List;

import com.google.protobuf.UnsafeByteOperations;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.wire.news.Avoided;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.Part;
import org.apricotstack.wire.news.Placed;
import org.apricotstack.wire.news.PublishedDocument;

/** Translates between what routers tell each other and the types of the core. */
final class GossipMessages {

    private GossipMessages() {}

    /** Reads what a router says of itself. */
    static Peer peer(ProcessId process, Heartbeat beat) {
        return new Peer(
                process,
                new DataCentreId(beat.getDataCentre()),
                Address.parse(beat.getCallerAddress()),
                Address.parse(beat.getPeerAddress()),
                beat.getReady(),
                beat.getConfigurationVersion(),
                beat.getUpstreamsRevision(),
                beat.getCapacityPercent(),
                beat.getRequestsPerSecond(),
                beat.getTakesCallers(),
                beat.getNextMillis());
    }

    /** Writes what this router says of itself. */
    static Heartbeat.Builder heartbeat(Peer own) {
        return Heartbeat.newBuilder()
                .setHost(own.process().host().value())
                .setIncarnation(own.process().incarnation())
                .setDataCentre(own.dataCentre().value())
                .setCallerAddress(own.callerAddress().toString())
                .setPeerAddress(own.peerAddress().toString())
                .setReady(own.ready())
                .setConfigurationVersion(own.configurationVersion())
                .setUpstreamsRevision(own.upstreamsRevision())
                .setCapacityPercent(own.capacityPercent())
                .setRequestsPerSecond((float) own.requestsPerSecond())
                .setTakesCallers(own.takesCallers())
                .setNextMillis((int) own.nextHeartbeatMillis());
    }

    /** Reads a placement of another router. */
    static EnginePlacement placement(ProcessId sender, Placed placed) {
        List<EnginePart> parts = placed.getPartsList().stream()
                .map(part -> new EnginePart(
                        new UpstreamId(part.getEngine(), part.getIncarnation()),
                        part.getReadMillis(),
                        part.getMemoryTokens()))
                .toList();
        return new EnginePlacement(
                new PlacementId(sender, placed.getNumber()),
                parts,
                placed.getContextTokens(),
                placed.getTargetLatencyMillis(),
                placed.getPauseTargetMillis());
    }

    /** Writes a placement. */
    static Placed placed(EnginePlacement placement, long limitMillis) {
        Placed.Builder placed = Placed.newBuilder()
                .setNumber(placement.id().number())
                .setContextTokens(placement.contextTokens())
                .setPauseTargetMillis(placement.tokenGapTargetMillis())
                .setTargetLatencyMillis(placement.targetLatencyMillis())
                .setLimitMillis(limitMillis);
        for (EnginePart part : placement.parts()) {
            placed.addParts(Part.newBuilder()
                    .setEngine(part.engine().value())
                    .setIncarnation(part.engine().incarnation())
                    .setReadMillis(part.prefillMillis())
                    .setMemoryTokens(part.memoryTokens()));
        }
        return placed.build();
    }

    /** Writes that an upstream failed. */
    static Avoided avoided(UpstreamId upstream, long avoidMillis) {
        return Avoided.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setAvoidMillis(avoidMillis)
                .build();
    }

    /** Reads which upstream failed at a peer. */
    static UpstreamId upstream(Avoided avoided) {
        return new UpstreamId(avoided.getUpstream(), avoided.getIncarnation());
    }

    /** Reads a document; one without a name is the configuration. */
    static Publication publication(PublishedDocument document) {
        UpstreamId upstream = document.getName().isEmpty() ? null : new UpstreamId(document.getName());
        return new Publication(
                upstream, document.getRevision(), document.getContent().toByteArray(), false);
    }

    /** Writes a document. */
    static PublishedDocument document(Publication publication) {
        return PublishedDocument.newBuilder()
                .setName(
                        publication.isConfiguration()
                                ? ""
                                : publication.upstream().value())
                .setRevision(publication.revision())
                .setContent(UnsafeByteOperations.unsafeWrap(publication.content()))
                .build();
    }
}
