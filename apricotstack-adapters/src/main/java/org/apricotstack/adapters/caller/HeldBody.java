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
 * The body of a request, held once and counted against the budget of the process until closed.
 *
 * <p>A body whose length is announced is reserved before a byte is read, so that a refusal precedes exhaustion; one
 * of unknown length is reserved as it arrives.
 */
final class HeldBody implements AutoCloseable {

    /** When to come back if no memory is left, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private final ByteBudget budget;
    private final long mostBytes;
    private final AtomicBoolean closed = new AtomicBoolean();
    private long reserved;
    private byte[] fixed;
    private int filled;
    private ByteArrayOutputStream growing;

    /** Creates an empty body. */
    private HeldBody(ByteBudget budget, long mostBytes) {
        this.budget = budget;
        this.mostBytes = mostBytes;
    }

    /**
     * Reads the body of a request.
     *
     * @param request the request
     * @param budget the memory for all bodies
     * @param mostBytes the longest allowed body
     * @return the body, to be closed by the receiver; or an error with a {@code not_run} refusal
     */
    static Mono<HeldBody> read(HttpServerRequest request, ByteBudget budget, long mostBytes) {
        return Mono.defer(() -> {
            HeldBody body = new HeldBody(budget, mostBytes);
            body.announce(request.requestHeaders().getInt(HttpHeaderNames.CONTENT_LENGTH, -1));
            return request.receive()
                    .doOnNext(body::append)
                    .then(Mono.fromSupplier(body::complete))
                    .doOnError(error -> body.close())
                    .doOnCancel(body::close);
        });
    }

    /** Reserves an announced length. */
    private void announce(int length) {
        if (length >= 0) {
            reserve(length);
            fixed = new byte[length];
        } else {
            growing = new ByteArrayOutputStream();
        }
    }

    /** Reserves bytes or throws the refusal. */
    private void reserve(long bytes) {
        if (reserved + bytes > mostBytes) {
            throw Refusal.notRun(RefusalReason.BODY_TOO_LARGE, "At most " + mostBytes + " bytes.")
                    .toException();
        }
        if (!budget.tryReserve(bytes)) {
            throw Refusal.notRun(RefusalReason.BODY_MEMORY_EXHAUSTED, RETRY_MILLIS)
                    .toException();
        }
        reserved += bytes;
    }

    /** Appends what arrived. */
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

    /** Ends the reading. */
    private HeldBody complete() {
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
