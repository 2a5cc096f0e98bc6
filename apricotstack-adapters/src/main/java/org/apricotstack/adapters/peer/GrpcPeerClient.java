package org.apricotstack.adapters.peer;

import io.netty.handler.ssl.SslContext;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.PeerProbes;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.time.Deadline;
import org.apricotstack.core.time.MonotonicClock;
import org.apricotstack.wire.FetchDocumentsRequest;
import org.apricotstack.wire.LeaseLimitRequest;
import org.apricotstack.wire.PeerGrpc;
import org.apricotstack.wire.ProbeForReply;
import org.apricotstack.wire.ProbeForRequest;
import org.apricotstack.wire.ReadStatusReply;
import org.apricotstack.wire.ReadStatusRequest;
import org.apricotstack.wire.SubmitRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Client of the protocol between routers. Connections are opened on first use and closed when idle. */
public final class GrpcPeerClient implements PeerProbes, AutoCloseable {

    private final PeerConnections connections;
    private final ProcessId self;
    private final SslContext tls;
    private final MonotonicClock clock;
    private final ProbePayloadSource payloadSource;

    /**
     * Creates a client.
     *
     * @param self this process
     * @param tls keys for mutual TLS, or {@code null} for none
     * @param clock the local clock
     * @param payloadSource supplies the payload of probes that are sent to sample a peer's clock
     */
    public GrpcPeerClient(ProcessId self, SslContext tls, MonotonicClock clock, ProbePayloadSource payloadSource) {
        this.self = self;
        this.tls = tls;
        this.clock = clock;
        this.payloadSource = payloadSource;
        this.connections = new PeerConnections(tls, clock);
    }

    /** Supplies the payload of a probe. */
    @FunctionalInterface
    public interface ProbePayloadSource {

        /**
         * Returns the current payload.
         *
         * @return the payload
         */
        ProbePayload payload();
    }

    /**
     * Dispatches an attempt to the owner of a group.
     *
     * @param target the owner
     * @param command the attempt
     * @return its events
     */
    public Flux<AttemptEvent> dispatch(RosterHost target, DispatchCommand command) {
        PeerConnection connection = connections.to(target);
        sampleClockIfDue(target, connection);
        return connection.ready().flatMapMany(channel -> GrpcCalls.streaming(
                        channel,
                        PeerGrpc.getDispatchMethod(),
                        PeerMessages.dispatch(command, self, connection.clock(), clock))
                .map(EventMessages::decode));
    }

    /**
     * Submits a request to the process that issued its ticket.
     *
     * @param target the host of that process
     * @param command the request
     * @return its events
     */
    public Flux<AttemptEvent> submit(RosterHost target, SubmitCommand command) {
        PeerConnection connection = connections.to(target);
        sampleClockIfDue(target, connection);
        return connection.ready().flatMapMany(channel -> {
            SubmitRequest.Builder message = SubmitRequest.newBuilder()
                    .setRequest(command.request().value())
                    .setTicket(command.ticket())
                    .setWork(PeerMessages.work(command.work()))
                    .setRemainingMillis(command.deadline().remainingMillis(clock))
                    .setSender(PeerMessages.process(self));
            ProcessId receiver = connection.clock().process();
            Deadline theirs = receiver == null ? null : connection.clock().translate(receiver, command.deadline());
            if (theirs != null) {
                message.setDeadlineProcess(PeerMessages.process(receiver)).setDeadlineNanos(theirs.atNanos());
            }
            return GrpcCalls.streaming(channel, PeerGrpc.getSubmitMethod(), message.build())
                    .map(EventMessages::decode);
        });
    }

    /** Probes a peer to sample its clock if the last sample is too old. Doesn't delay the call that follows. */
    private void sampleClockIfDue(RosterHost target, PeerConnection connection) {
        if (connection.clock().isDue(clock.nanos())) {
            probe(target, payloadSource.payload()).subscribe(answer -> {}, error -> {});
        }
    }

    @Override
    public Mono<ProbeAnswer> probe(RosterHost target, ProbePayload payload) {
        return probe(connections.to(target), payload);
    }

    /**
     * Probes an address whose host is not known yet.
     *
     * @param address the address
     * @param payload the payload of the probe
     * @return the answer
     */
    public Mono<ProbeAnswer> probeAddress(Address address, ProbePayload payload) {
        return Mono.using(
                () -> new PeerConnection(address, tls, clock.nanos()),
                seed -> probe(seed, payload),
                PeerConnection::close);
    }

    /** Probes over one connection and records the sample of the peer's clock. */
    private Mono<ProbeAnswer> probe(PeerConnection connection, ProbePayload payload) {
        return GrpcCalls.unary(connection.channel(), PeerGrpc.getProbeMethod(), ControlMessages.request(payload))
                .map(ControlMessages::answer)
                .doOnNext(answer ->
                        connection.clock().observe(answer.payload().sender(), answer.clockNanos(), clock.nanos()));
    }

    @Override
    public Mono<Boolean> probeThrough(RosterHost via, HostId target) {
        ProbeForRequest request =
                ProbeForRequest.newBuilder().setHost(target.value()).build();
        return GrpcCalls.unary(connections.to(via).channel(), PeerGrpc.getProbeForMethod(), request)
                .map(ProbeForReply::getAnswered);
    }

    /**
     * Fetches the changes of a document set.
     *
     * @param target the peer
     * @param topic the set
     * @param since the version that this router has
     * @return the changes
     */
    public Mono<DocumentDelta> documents(RosterHost target, ReplicationTopic topic, long since) {
        return documents(connections.to(target), topic, since);
    }

    /**
     * Fetches the changes of a document set from an address whose host is not known yet.
     *
     * @param address the address
     * @param topic the set
     * @param since the version that this router has
     * @return the changes
     */
    public Mono<DocumentDelta> documentsFrom(Address address, ReplicationTopic topic, long since) {
        return Mono.using(
                () -> new PeerConnection(address, tls, clock.nanos()),
                seed -> documents(seed, topic, since),
                PeerConnection::close);
    }

    /** Fetches over one connection. */
    private static Mono<DocumentDelta> documents(PeerConnection connection, ReplicationTopic topic, long since) {
        FetchDocumentsRequest request = FetchDocumentsRequest.newBuilder()
                .setTopic(topic.name())
                .setSince(since)
                .build();
        return GrpcCalls.unary(connection.channel(), PeerGrpc.getFetchDocumentsMethod(), request)
                .map(ControlMessages::delta);
    }

    /**
     * Leases a share of a client account's limits from the router that issues its leases.
     *
     * @param home the router that issues the leases of the account
     * @param account the client account
     * @param wantedTokens this router's demand in tokens
     * @return the share, 0 to 1
     */
    public Mono<Double> leaseLimit(RosterHost home, ClientAccountId account, long wantedTokens) {
        LeaseLimitRequest request = LeaseLimitRequest.newBuilder()
                .setClientAccount(account.value())
                .setSender(PeerMessages.process(self))
                .setWantedTokens(wantedTokens)
                .build();
        return GrpcCalls.unary(connections.to(home).channel(), PeerGrpc.getLeaseLimitMethod(), request)
                .map(reply -> reply.getShareMillionths() / GrpcPeerService.MILLIONTHS);
    }

    /**
     * Reads a peer's status document for operators.
     *
     * @param target the peer
     * @return JSON
     */
    public Mono<byte[]> status(RosterHost target) {
        return GrpcCalls.unary(
                        connections.to(target).channel(),
                        PeerGrpc.getReadStatusMethod(),
                        ReadStatusRequest.getDefaultInstance())
                .map(ReadStatusReply::getJson)
                .map(PeerMessages::bytes);
    }

    /**
     * Closes the connection over which an attempt was sent to a peer. The next call opens a new one.
     *
     * @param host the peer
     * @param sentNanos when the attempt was sent, on the local clock
     */
    public void replace(HostId host, long sentNanos) {
        connections.dropOpenedBefore(host, sentNanos);
    }

    @Override
    public void close() {
        connections.close();
    }
}
