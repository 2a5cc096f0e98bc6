package org.apricotstack.adapters.peer;

import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Handles the calls of peer routers. */
public interface PeerEndpoint {

    /**
     * Runs an attempt of a group.
     *
     * @param command the attempt
     * @return its events
     */
    Flux<AttemptEvent> dispatch(DispatchCommand command);

    /**
     * Runs a request whose ticket this process issued.
     *
     * @param command the request
     * @return its events
     */
    Flux<AttemptEvent> submit(SubmitCommand command);

    /**
     * Answers a probe.
     *
     * @param payload the payload of the probe
     * @return the answer
     */
    ProbeAnswer probe(ProbePayload payload);

    /**
     * Probes another router on behalf of a peer.
     *
     * @param host the router
     * @return whether it answered
     */
    Mono<Boolean> probeFor(HostId host);

    /**
     * Returns the changes of a document set.
     *
     * @param topic the set
     * @param since the version that the peer has
     * @return the changes
     */
    DocumentDelta documents(ReplicationTopic topic, long since);

    /**
     * Leases a share of a client account's limits.
     *
     * @param account the client account
     * @param host the router that requests the lease
     * @param wantedTokens its demand in tokens
     * @return the share, 0 to 1
     */
    double leaseLimit(ClientAccountId account, HostId host, long wantedTokens);

    /**
     * Returns the status document for operators.
     *
     * @return JSON
     */
    byte[] status();
}
