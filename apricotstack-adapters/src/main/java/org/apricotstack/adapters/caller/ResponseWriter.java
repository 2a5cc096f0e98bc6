package org.apricotstack.adapters.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.entry.EntryService.Submission;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.stream.AttemptSignal;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Sends the HTTP response to one request.
 *
 * <p>Status and headers are sent with the first part of the answer, so a refusal before it is a problem document with
 * its own status. A later failure cannot change the status any more: an event stream then ends with an error event and
 * without the {@code [DONE]} event, and any other response is aborted, so that the caller does not
 * take it for complete.
 */
final class ResponseWriter {

    private static final String REQUEST_HEADER = "X-Request-Id";

    private final HttpServerResponse response;
    private final Submission submission;

    /** Creates a writer for one response. */
    ResponseWriter(HttpServerResponse response, Submission submission) {
        this.response = response;
        this.submission = submission;
    }

    /** Sends a refusal as a problem document. */
    static Publisher<Void> problem(HttpServerResponse response, Refusal refusal, String request) {
        response.status(ProblemDocument.status(refusal.reason()))
                .header(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
        if (refusal.retryAfterMillis() > 0) {
            response.header(HttpHeaderNames.RETRY_AFTER, "" + ProblemDocument.retryAfterSeconds(refusal));
        }
        return response.sendString(Mono.just(ProblemDocument.write(refusal, request)));
    }

    /** Sends a completion. */
    Publisher<Void> completion(String model, boolean stream) {
        response.header(REQUEST_HEADER, submission.id().value());
        CompletionFormat format = new CompletionFormat(submission.id().value(), model);
        return stream ? streamed(format) : whole(format);
    }

    /** Sends a completion as one document. */
    private Publisher<Void> whole(CompletionFormat format) {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        return submission
                .answer()
                .doOnNext(signal -> {
                    if (signal instanceof AttemptSignal.Chunk chunk) {
                        text.writeBytes(chunk.data());
                    }
                })
                .ofType(AttemptSignal.Completed.class)
                .single()
                .flatMap(completed -> response.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                        .sendString(Mono.just(format.whole(text, completed)))
                        .then())
                .onErrorResume(error -> Mono.from(problem(error)));
    }

    /** Sends a completion as server-sent events. */
    private Publisher<Void> streamed(CompletionFormat format) {
        return submission
                .answer()
                .skipUntil(signal -> !(signal instanceof AttemptSignal.Heartbeat))
                .switchOnFirst((first, all) -> {
                    if (!first.hasValue()) {
                        return Flux.from(refused(first));
                    }
                    Flux<ByteBuf> events = all.map(format::event)
                            .onErrorResume(error -> Mono.just(CompletionFormat.failure(ProblemDocument.write(
                                    refusal(error), submission.id().value()))))
                            .map(ResponseWriter::buffer);
                    response.sse();
                    return Flux.from(response.send(events, buffer -> true).then());
                })
                .then();
    }

    /** Sends the response of a plain service. */
    Publisher<Void> plain() {
        response.header(REQUEST_HEADER, submission.id().value());
        return submission
                .answer()
                .filter(signal -> !(signal instanceof AttemptSignal.Heartbeat))
                .switchOnFirst((first, all) -> {
                    if (!(first.get() instanceof AttemptSignal.Head head)) {
                        return Flux.from(refused(first));
                    }
                    response.status(head.status());
                    for (Header header : head.headers()) {
                        response.header(header.name(), header.value());
                    }
                    Flux<ByteBuf> chunks =
                            all.ofType(AttemptSignal.Chunk.class).map(chunk -> Unpooled.wrappedBuffer(chunk.data()));
                    return Flux.from(response.send(chunks, buffer -> true).then());
                })
                .then();
    }

    /** Sends the refusal of an answer that ended before its first part. */
    private Publisher<Void> refused(Signal<? extends AttemptSignal> first) {
        Throwable error = first.getThrowable();
        return problem(error == null ? Refusal.unknown(RefusalReason.ANSWER_CUT).toException() : error);
    }

    /** Sends the refusal that an error carries. */
    private Publisher<Void> problem(Throwable error) {
        return problem(response, refusal(error), submission.id().value());
    }

    /** Returns the refusal that an error carries. */
    private static Refusal refusal(Throwable error) {
        return RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR));
    }

    /** Encodes an event. */
    private static ByteBuf buffer(String text) {
        return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
    }
}
