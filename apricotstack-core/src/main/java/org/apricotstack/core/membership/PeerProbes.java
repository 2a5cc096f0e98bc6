package org.apricotstack.core.membership;

import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.replication.ReplicationTopic;
import reactor.core.publisher.Mono;

/** Port: probes between routers. */
public interface PeerProbes {

    /**
     * Probes a router.
     *
     * @param target the router
     * @param payload the payload to send
     * @return its answer; an error if it does not answer in time
     */
    Mono<ProbeAnswer> probe(RosterHost target, ProbePayload payload);

    /**
     * Asks a router to probe another.
     *
     * @param via the router to ask
     * @param target the router to probe
     * @return whether {@code target} answered {@code via}
     */
    Mono<Boolean> probeThrough(RosterHost via, HostId target);

    /**
     * The payload of probes and answers.
     *
     * @param sender the process that sends it
     * @param members gossip records about members
     * @param versions versions of the document sets in force at the sender; empty while it does not serve
     */
    record ProbePayload(ProcessId sender, List<MemberRecord> members, Map<ReplicationTopic, Long> versions) {}

    /**
     * The answer to a probe.
     *
     * @param payload its payload
     * @param clockNanos reading of the monotonic clock of the answering process
     */
    record ProbeAnswer(ProbePayload payload, long clockNanos) {}
}
