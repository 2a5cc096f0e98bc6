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

/** Turns probes and document deltas into messages between routers and back. */
final class ControlMessages {

    private ControlMessages() {}

    /** Writes a probe. */
    static ProbeRequest request(ProbePayload news) {
        return ProbeRequest.newBuilder()
                .setSender(PeerMessages.process(news.sender()))
                .addAllMembers(members(news.members()))
                .addAllDigests(digests(news.versions()))
                .build();
    }

    /** Writes the answer to a probe. */
    static ProbeReply reply(ProbeAnswer answer) {
        return ProbeReply.newBuilder()
                .setSender(PeerMessages.process(answer.payload().sender()))
                .setClockNanos(answer.clockNanos())
                .addAllMembers(members(answer.payload().members()))
                .addAllDigests(digests(answer.payload().versions()))
                .build();
    }

    /** Reads a probe. */
    static ProbePayload news(ProbeRequest message) {
        return new ProbePayload(
                PeerMessages.process(message.getSender()),
                readMembers(message.getMembersList()),
                readDigests(message.getDigestsList()));
    }

    /** Reads the answer to a probe. */
    static ProbeAnswer answer(ProbeReply message) {
        ProbePayload news = new ProbePayload(
                PeerMessages.process(message.getSender()),
                readMembers(message.getMembersList()),
                readDigests(message.getDigestsList()));
        return new ProbeAnswer(news, message.getClockNanos());
    }

    /** Writes statements about members. */
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

    /** Reads statements about members; states of a later version of the protocol are passed over. */
    private static List<MemberRecord> readMembers(List<org.apricotstack.wire.MemberRecord> messages) {
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

    /** Writes versions of document sets. */
    private static List<DocumentDigest> digests(Map<ReplicationTopic, Long> versions) {
        return versions.entrySet().stream()
                .map(entry -> DocumentDigest.newBuilder()
                        .setTopic(entry.getKey().name())
                        .setVersion(entry.getValue())
                        .build())
                .toList();
    }

    /** Reads versions of document sets; unknown sets are passed over. */
    private static Map<ReplicationTopic, Long> readDigests(List<DocumentDigest> messages) {
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

    /** Writes a delta. */
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

    /** Reads a delta. */
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
