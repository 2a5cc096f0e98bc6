package org.apricotstack.serving.run;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.http.ResponseHead;

/** An attempt whose response is an event stream; complete events are forwarded as they arrive. */
final class StreamAttempt extends Attempt {

    private final EventSplitter splitter = new EventSplitter();
    private final long tokenGapLimitMillis;
    private HttpResponse raw;
    private boolean streaming;
    private boolean answerStarted;
    private long repeatedEvents;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param tokenGapLimitMillis silence between events after which the stream is moved, in milliseconds
     */
    StreamAttempt(RequestRun run, UpstreamChoice choice, long startMillis, long tokenGapLimitMillis) {
        super(run, choice, startMillis);
        this.tokenGapLimitMillis = tokenGapLimitMillis;
    }

    @Override
    public void head(ResponseHead answer, HttpResponse response) {
        super.head(answer, response);
        raw = response;
        streaming = answer.success() && answer.eventStream() && ResponseFailure.of(answer) == null;
    }

    @Override
    public void data(ByteBuf data) {
        if (!streaming) {
            super.data(data);
            return;
        }
        if (!splitter.feed(data, this::event) && !finished()) {
            spoiled();
        }
    }

    /** Processes a complete event. */
    private void event(EventSplitter.Event event) {
        countEvent();
        if (finished()) {
            event.bytes().release();
            return;
        }
        if (!event.comment()) {
            answerStarted = true;
            watchdog(tokenGapLimitMillis);
        }
        run().event(this, raw, event);
    }

    /**
     * Records an event that the caller already has, and returns whether it may come. An upstream may ignore where the
     * stream is resumed, and repeats at most the events that the caller has.
     */
    boolean mayRepeat(long forwardedEvents) {
        repeatedEvents++;
        return repeatedEvents <= forwardedEvents;
    }

    @Override
    boolean answerStarted() {
        return answerStarted;
    }

    @Override
    public void end() {
        if (!streaming) {
            super.end();
        } else if (splitter.hasPartialEvent()) {
            failed(FailureKind.CUT);
        } else if (!finished()) {
            finish();
            run().streamCompleted(this, raw);
        }
    }
}
