package org.apricotstack.adapters.peer;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.Context;
import io.grpc.MethodDescriptor;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientCalls;
import io.grpc.stub.ClientResponseObserver;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;

/**
 * Wraps gRPC calls as reactive streams.
 *
 * <p>Calls start in gRPC's root context. In the context of an incoming call they would be cancelled when that call
 * ends: the fetch of a document version that a probe announced was cancelled as soon as the probe was answered, so that
 * a change took seconds instead of milliseconds to reach a fleet of 64. A request with a ticket must also outlive the
 * call that submitted it.
 */
final class GrpcCalls {

    private GrpcCalls() {}

    /** Makes a call with a single response. */
    static <Q, A> Mono<A> unary(Channel channel, MethodDescriptor<Q, A> method, Q request) {
        return streaming(channel, method, request).next();
    }

    /** Makes a call with a stream of responses. Cancelling the subscription cancels the call. */
    static <Q, A> Flux<A> streaming(Channel channel, MethodDescriptor<Q, A> method, Q request) {
        return Flux.create(sink -> Context.ROOT.run(() -> ClientCalls.asyncServerStreamingCall(
                channel.newCall(method, CallOptions.DEFAULT), request, new SinkObserver<Q, A>(sink))));
    }

    /**
     * Forwards the responses of a call to a sink.
     *
     * @param <Q> the type of the request
     * @param <A> the type of the responses
     */
    private static final class SinkObserver<Q, A> implements ClientResponseObserver<Q, A> {
        private final FluxSink<A> sink;

        /** Creates an observer. */
        private SinkObserver(FluxSink<A> sink) {
            this.sink = sink;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<Q> call) {
            sink.onCancel(() -> call.cancel("The subscriber cancelled.", null));
        }

        @Override
        public void onNext(A answer) {
            sink.next(answer);
        }

        @Override
        public void onError(Throwable error) {
            sink.error(error);
        }

        @Override
        public void onCompleted() {
            sink.complete();
        }
    }
}
