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

/** What a router does for its peers. */
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
     * @param news what the probe carries
     * @return the answer
     */
    ProbeAnswer probe(ProbePayload news);

    /**
     * Probes a third router.
     *
     * @param host the router
     * @return whether it answered
     */
    Mono<Boolean> probeFor(HostId host);

    /**
     * Tells the changes of a document set.
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
     * @param host the router that asks
     * @param wantedTokens its demand
     * @return the share, 0 to 1
     */
    double leaseLimit(ClientAccountId account, HostId host, long wantedTokens);

    /**
     * Tells the state that operators see.
     *
     * @return JSON
     */
    byte[] status();
}
