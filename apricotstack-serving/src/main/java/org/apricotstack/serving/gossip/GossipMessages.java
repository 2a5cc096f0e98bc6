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
import org.apricotstack.core.upstream.Evacuation;
import org.apricotstack.core.upstream.Revisions;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.wire.news.Avoided;
import org.apricotstack.wire.news.DataCentreEvacuation;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.Part;
import org.apricotstack.wire.news.Placed;
import org.apricotstack.wire.news.PublishedDocument;

/** Converts between wire messages and the types of the core. */
final class GossipMessages {

    private GossipMessages() {}

    /** Decodes the heartbeat of a router. */
    static Peer peer(ProcessId process, Heartbeat heartbeat) {
        return new Peer(
                process,
                new DataCentreId(heartbeat.getDataCentre()),
                Address.parse(heartbeat.getCallerAddress()),
                Address.parse(heartbeat.getPeerAddress()),
                heartbeat.getReady(),
                heartbeat.getConfigurationVersion(),
                Revisions.fromMessage(heartbeat.getUpstreamsRevision()),
                heartbeat.getCapacityPercent(),
                heartbeat.getRequestsPerSecond(),
                heartbeat.getTakesCallers(),
                heartbeat.getNextMillis(),
                heartbeat.getStopLeftMillis());
    }

    /** Encodes the heartbeat of this router. */
    static Heartbeat.Builder heartbeat(Peer own) {
        return Heartbeat.newBuilder()
                .setHost(own.process().host().value())
                .setIncarnation(own.process().incarnation())
                .setDataCentre(own.dataCentre().value())
                .setCallerAddress(own.callerAddress().toString())
                .setPeerAddress(own.peerAddress().toString())
                .setReady(own.ready())
                .setConfigurationVersion(own.configurationVersion())
                .setUpstreamsRevision(Revisions.toMessage(own.upstreamsRevision()))
                .setCapacityPercent(own.capacityPercent())
                .setRequestsPerSecond((float) own.requestsPerSecond())
                .setTakesCallers(own.takesCallers())
                .setNextMillis((int) own.nextHeartbeatMillis())
                .setStopLeftMillis((int) own.stopLeftMillis());
    }

    /** Decodes a placement of another router. */
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

    /** Encodes a placement. */
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

    /** Encodes that an upstream failed. */
    static Avoided avoided(UpstreamId upstream, long avoidMillis) {
        return Avoided.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setAvoidMillis(avoidMillis)
                .build();
    }

    /** Decodes which upstream failed at a peer. */
    static UpstreamId upstream(Avoided avoided) {
        return new UpstreamId(avoided.getUpstream(), avoided.getIncarnation());
    }

    /** Decodes a document; one without a name is the configuration. */
    static Publication publication(PublishedDocument document) {
        UpstreamId upstream = document.getName().isEmpty() ? null : new UpstreamId(document.getName());
        return new Publication(
                upstream,
                Revisions.fromMessage(document.getRevision()),
                document.getContent().toByteArray(),
                false);
    }

    /** Decodes an evacuation. */
    static Evacuation evacuation(DataCentreEvacuation evacuation, long nowMillis) {
        DataCentreId dataCentre = new DataCentreId(evacuation.getDataCentre());
        long revision = Revisions.fromMessage(evacuation.getRevision());
        return evacuation.getHeldMillis() > 0
                ? new Evacuation(dataCentre, revision, nowMillis + evacuation.getHeldMillis())
                : Evacuation.listed(dataCentre, revision);
    }

    /** Encodes an evacuation. */
    static DataCentreEvacuation evacuation(Evacuation evacuation, long nowMillis) {
        DataCentreEvacuation.Builder encoded = DataCentreEvacuation.newBuilder()
                .setDataCentre(evacuation.dataCentre().value())
                .setRevision(Revisions.toMessage(evacuation.revision()));
        if (!evacuation.isListed()) {
            encoded.setHeldMillis(Math.max(1, evacuation.heldUntilMillis() - nowMillis));
        }
        return encoded.build();
    }

    /** Encodes a document. */
    static PublishedDocument document(Publication publication) {
        return PublishedDocument.newBuilder()
                .setName(
                        publication.isConfiguration()
                                ? ""
                                : publication.upstream().value())
                .setRevision(Revisions.toMessage(publication.revision()))
                .setContent(UnsafeByteOperations.unsafeWrap(publication.content()))
                .build();
    }
}
