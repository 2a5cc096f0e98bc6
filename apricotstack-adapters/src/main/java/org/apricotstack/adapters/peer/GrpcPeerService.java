package org.apricotstack.adapters.peer;

import java.util.Locale;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.limits.LimitLeaseIssuer;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.time.MonotonicClock;
import org.apricotstack.wire.AttemptEvent;
import org.apricotstack.wire.DispatchRequest;
import org.apricotstack.wire.DocumentDelta;
import org.apricotstack.wire.FetchDocumentsRequest;
import org.apricotstack.wire.LeaseLimitReply;
import org.apricotstack.wire.LeaseLimitRequest;
import org.apricotstack.wire.PeerGrpc;
import org.apricotstack.wire.ProbeForReply;
import org.apricotstack.wire.ProbeForRequest;
import org.apricotstack.wire.ProbeReply;
import org.apricotstack.wire.ProbeRequest;
import org.apricotstack.wire.ReadStatusReply;
import org.apricotstack.wire.ReadStatusRequest;
import org.apricotstack.wire.SubmitRequest;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;

/** Handles the calls of peers by means of the endpoint. */
final class GrpcPeerService extends PeerGrpc.PeerImplBase {

    /** Shares are sent in millionths. */
    static final double MILLIONTHS = 1_000_000;

    private final PeerEndpoint endpoint;
    private final ProcessId self;
    private final MonotonicClock clock;

    /** Creates a service. */
    GrpcPeerService(PeerEndpoint endpoint, ProcessId self, MonotonicClock clock) {
        this.endpoint = endpoint;
        this.self = self;
        this.clock = clock;
    }

    @Override
    public void dispatch(DispatchRequest request, StreamObserver<AttemptEvent> observer) {
        stream(observer, () -> endpoint.dispatch(PeerMessages.dispatch(request, self, clock)));
    }

    @Override
    public void submit(SubmitRequest request, StreamObserver<AttemptEvent> observer) {
        stream(observer, () -> {
            var process = request.hasDeadlineProcess() ? request.getDeadlineProcess() : null;
            SubmitCommand command = new SubmitCommand(
                    new RequestId(request.getRequest()),
                    request.getTicket(),
                    PeerMessages.work(request.getWork()),
                    PeerMessages.deadline(
                            request.getRemainingMillis(), process, request.getDeadlineNanos(), self, clock));
            return endpoint.submit(command);
        });
    }

    /** Sends the events to the peer. Cancels the subscription when the peer cancels or its connection is lost. */
    private static void stream(
            StreamObserver<AttemptEvent> observer, Supplier<Flux<org.apricotstack.core.stream.AttemptEvent>> events) {
        ServerCallStreamObserver<AttemptEvent> call = (ServerCallStreamObserver<AttemptEvent>) observer;
        Disposable.Swap subscription = Disposables.swap();
        call.setOnCancelHandler(subscription::dispose);
        Flux<org.apricotstack.core.stream.AttemptEvent> flux;
        try {
            flux = events.get();
        } catch (ApricotException e) {
            call.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        subscription.update(flux.subscribe(
                event -> {
                    if (!call.isCancelled()) {
                        call.onNext(EventMessages.encode(event));
                    }
                },
                error -> {
                    if (!call.isCancelled()) {
                        call.onError(Status.INTERNAL.asRuntimeException());
                    }
                },
                () -> {
                    if (!call.isCancelled()) {
                        call.onCompleted();
                    }
                }));
    }

    @Override
    public void probe(ProbeRequest request, StreamObserver<ProbeReply> observer) {
        observer.onNext(ControlMessages.reply(endpoint.probe(ControlMessages.payload(request))));
        observer.onCompleted();
    }

    @Override
    public void probeFor(ProbeForRequest request, StreamObserver<ProbeForReply> observer) {
        endpoint.probeFor(new HostId(request.getHost())).onErrorReturn(false).subscribe(answered -> {
            observer.onNext(ProbeForReply.newBuilder().setAnswered(answered).build());
            observer.onCompleted();
        });
    }

    @Override
    public void fetchDocuments(FetchDocumentsRequest request, StreamObserver<DocumentDelta> observer) {
        ReplicationTopic topic;
        try {
            topic = ReplicationTopic.valueOf(request.getTopic().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            observer.onError(Status.INVALID_ARGUMENT.asRuntimeException());
            return;
        }
        observer.onNext(ControlMessages.delta(request.getTopic(), endpoint.documents(topic, request.getSince())));
        observer.onCompleted();
    }

    @Override
    public void leaseLimit(LeaseLimitRequest request, StreamObserver<LeaseLimitReply> observer) {
        double share = endpoint.leaseLimit(
                new ClientAccountId(request.getClientAccount()),
                new HostId(request.getSender().getHost()),
                request.getWantedTokens());
        observer.onNext(LeaseLimitReply.newBuilder()
                .setShareMillionths((long) (share * MILLIONTHS))
                .setValidMillis(LimitLeaseIssuer.LEASE_MILLIS)
                .build());
        observer.onCompleted();
    }

    @Override
    public void readStatus(ReadStatusRequest request, StreamObserver<ReadStatusReply> observer) {
        observer.onNext(ReadStatusReply.newBuilder()
                .setSender(PeerMessages.process(self))
                .setJson(ByteString.copyFrom(endpoint.status()))
                .build());
        observer.onCompleted();
    }
}
