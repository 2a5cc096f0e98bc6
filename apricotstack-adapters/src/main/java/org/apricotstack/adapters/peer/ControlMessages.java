package org.apricotstack.adapters.peer;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.MemberRecord;
import org.apricotstack.core.membership.MemberState;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.wire.DocumentDigest;
import org.apricotstack.wire.ProbeReply;
import org.apricotstack.wire.ProbeRequest;
import org.apricotstack.wire.RemovedDocument;

/** Converts probes and document deltas to and from the protocol buffers that routers exchange. */
final class ControlMessages {

    private ControlMessages() {}

    /** Encodes a probe. */
    static ProbeRequest request(ProbePayload payload) {
        return ProbeRequest.newBuilder()
                .setSender(PeerMessages.process(payload.sender()))
                .addAllMembers(members(payload.members()))
                .addAllDigests(digests(payload.versions()))
                .build();
    }

    /** Encodes the answer to a probe. */
    static ProbeReply reply(ProbeAnswer answer) {
        return ProbeReply.newBuilder()
                .setSender(PeerMessages.process(answer.payload().sender()))
                .setClockNanos(answer.clockNanos())
                .addAllMembers(members(answer.payload().members()))
                .addAllDigests(digests(answer.payload().versions()))
                .build();
    }

    /** Decodes a probe. */
    static ProbePayload payload(ProbeRequest message) {
        return new ProbePayload(
                PeerMessages.process(message.getSender()),
                decodeMembers(message.getMembersList()),
                decodeDigests(message.getDigestsList()));
    }

    /** Decodes the answer to a probe. */
    static ProbeAnswer answer(ProbeReply message) {
        ProbePayload payload = new ProbePayload(
                PeerMessages.process(message.getSender()),
                decodeMembers(message.getMembersList()),
                decodeDigests(message.getDigestsList()));
        return new ProbeAnswer(payload, message.getClockNanos());
    }

    /** Encodes membership records. */
    private static List<org.apricotstack.wire.MemberRecord> members(List<MemberRecord> records) {
        return records.stream()
                .map(record -> org.apricotstack.wire.MemberRecord.newBuilder()
                        .setHost(record.host().value())
                        .setIncarnation(record.incarnation())
                        .setRefutation(record.refutation())
                        .setState(record.state().ordinal())
                        .build())
                .toList();
    }

    /** Decodes membership records. Records with a state of a later protocol version are skipped. */
    private static List<MemberRecord> decodeMembers(List<org.apricotstack.wire.MemberRecord> messages) {
        MemberState[] states = MemberState.values();
        return messages.stream()
                .filter(message -> message.getState() >= 0 && message.getState() < states.length)
                .map(message -> new MemberRecord(
                        new HostId(message.getHost()),
                        message.getIncarnation(),
                        message.getRefutation(),
                        states[message.getState()]))
                .toList();
    }

    /** Encodes the versions of document sets. */
    private static List<DocumentDigest> digests(Map<ReplicationTopic, Long> versions) {
        return versions.entrySet().stream()
                .map(entry -> DocumentDigest.newBuilder()
                        .setTopic(entry.getKey().name())
                        .setVersion(entry.getValue())
                        .build())
                .toList();
    }

    /** Decodes the versions of document sets. Unknown sets are skipped. */
    private static Map<ReplicationTopic, Long> decodeDigests(List<DocumentDigest> messages) {
        Map<ReplicationTopic, Long> versions = new EnumMap<>(ReplicationTopic.class);
        for (DocumentDigest message : messages) {
            for (ReplicationTopic topic : ReplicationTopic.values()) {
                if (topic.name().equals(message.getTopic())) {
                    versions.put(topic, message.getVersion());
                }
            }
        }
        return versions;
    }

    /** Encodes a delta. */
    static org.apricotstack.wire.DocumentDelta delta(String topic, DocumentDelta delta) {
        org.apricotstack.wire.DocumentDelta.Builder message = org.apricotstack.wire.DocumentDelta.newBuilder()
                .setTopic(topic)
                .setFrom(delta.from())
                .setTo(delta.to())
                .setFull(delta.full());
        for (Document document : delta.changed()) {
            message.addChanged(org.apricotstack.wire.Document.newBuilder()
                    .setKey(document.key())
                    .setVersion(document.version())
                    .setBody(ByteString.copyFromUtf8(document.body())));
        }
        delta.removed()
                .forEach((key, version) -> message.addRemoved(
                        RemovedDocument.newBuilder().setKey(key).setVersion(version)));
        return message.build();
    }

    /** Decodes a delta. */
    static DocumentDelta delta(org.apricotstack.wire.DocumentDelta message) {
        List<Document> changed = new ArrayList<>();
        message.getChangedList()
                .forEach(document -> changed.add(new Document(
                        document.getKey(),
                        document.getVersion(),
                        document.getBody().toStringUtf8())));
        Map<String, Long> removed = new TreeMap<>();
        message.getRemovedList().forEach(document -> removed.put(document.getKey(), document.getVersion()));
        return new DocumentDelta(message.getFrom(), message.getTo(), message.getFull(), changed, removed);
    }
}
