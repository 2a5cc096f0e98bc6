package org.apricotstack.adapters.caller;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.limits.ByteBudget;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * The body of a request, held in memory once and charged to the memory budget of the process until closed.
 *
 * <p>If the length is declared, the memory is reserved before any byte is read, so that the request is refused before
 * memory runs out. A body of unknown length is reserved as it arrives.
 */
final class RequestBody implements AutoCloseable {

    /** Retry-after time if no memory is left, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private final ByteBudget budget;
    private final long maxBytes;
    private final AtomicBoolean closed = new AtomicBoolean();
    private long reserved;
    private byte[] fixed;
    private int filled;
    private ByteArrayOutputStream growing;

    /** Creates an empty body. */
    private RequestBody(ByteBudget budget, long maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the body of a request.
     *
     * @param request the request
     * @param budget the memory for all request bodies
     * @param maxBytes the maximum size of the body
     * @return the body, to be closed by the receiver; or an error with a {@code not_run} refusal
     */
    static Mono<RequestBody> read(HttpServerRequest request, ByteBudget budget, long maxBytes) {
        return Mono.defer(() -> {
            RequestBody body = new RequestBody(budget, maxBytes);
            body.reserveDeclared(request.requestHeaders().getInt(HttpHeaderNames.CONTENT_LENGTH, -1));
            return request.receive()
                    .doOnNext(body::append)
                    .then(Mono.fromSupplier(body::complete))
                    .doOnError(error -> body.close())
                    .doOnCancel(body::close);
        });
    }

    /** Reserves memory for the declared length, if any; -1 means none. */
    private void reserveDeclared(int length) {
        if (length >= 0) {
            reserve(length);
            fixed = new byte[length];
        } else {
            growing = new ByteArrayOutputStream();
        }
    }

    /** Reserves bytes, or throws a refusal. */
    private void reserve(long bytes) {
        if (reserved + bytes > maxBytes) {
            throw Refusal.notRun(RefusalReason.BODY_TOO_LARGE, "At most " + maxBytes + " bytes.")
                    .toException();
        }
        if (!budget.tryReserve(bytes)) {
            throw Refusal.notRun(RefusalReason.BODY_MEMORY_EXHAUSTED, RETRY_MILLIS)
                    .toException();
        }
        reserved += bytes;
    }

    /** Appends received bytes. */
    private void append(ByteBuf buffer) {
        int count = buffer.readableBytes();
        if (fixed != null) {
            buffer.readBytes(fixed, filled, count);
            filled += count;
            return;
        }
        reserve(count);
        byte[] bytes = new byte[count];
        buffer.readBytes(bytes);
        growing.write(bytes, 0, count);
    }

    /** Completes the body. */
    private RequestBody complete() {
        if (fixed == null) {
            fixed = growing.toByteArray();
            growing = null;
        } else if (filled < fixed.length) {
            throw Refusal.notRun(RefusalReason.INVALID_REQUEST, "The body is shorter than announced.")
                    .toException();
        }
        return this;
    }

    /** Returns the bytes. */
    byte[] bytes() {
        return fixed;
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            budget.release(reserved);
        }
    }
}
