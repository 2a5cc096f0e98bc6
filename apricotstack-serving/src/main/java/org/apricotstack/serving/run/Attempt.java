package org.apricotstack.serving.run;

import java.util.concurrent.ScheduledFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.ResponseHead;
import org.apricotstack.serving.http.UpstreamCall;
import org.apricotstack.serving.http.UpstreamListener;

/** One send of a request to an upstream; holds the answer until it is whole, so that a cut one can be replaced. */
class Attempt implements UpstreamListener {

    /** Longest answer that is held, in bytes; a longer one is not what plain services give. */
    private static final int MAX_HELD_BYTES = 4 * 1024 * 1024;

    /** Share of the allowed silence after which the engine is asked whether it is there. */
    private static final double PROBE_SHARE = 0.45;

    private final RequestRun run;
    private final UpstreamChoice choice;
    private final long startMillis;
    private UpstreamCall call;
    private ScheduledFuture<?> watchdog;
    private long silenceMillis;
    private int watchdogGeneration;
    private boolean finished;
    private ResponseHead head;
    private HttpResponse raw;
    private CompositeByteBuf body;

    /** Creates an attempt that was not sent yet. */
    Attempt(RequestRun run, UpstreamChoice choice, long startMillis) {
        this.run = run;
        this.choice = choice;
        this.startMillis = startMillis;
    }

    /** Notes the call that carries the attempt, and how long it may be silent. */
    void sent(UpstreamCall carrier, long limitMillis) {
        call = carrier;
        if (!finished) {
            watchdog(limitMillis);
        }
    }

    /** Expects something within a time; 0 expects nothing. */
    final void watchdog(long limitMillis) {
        if (watchdog != null) {
            watchdog.cancel(false);
        }
        silenceMillis = limitMillis;
        watchdogGeneration++;
        if (limitMillis <= 0) {
            watchdog = null;
        } else if (choice.placement() == null) {
            watchdog = run.context().loop().schedule(limitMillis, this::abandonIfRetryAllowed);
        } else {
            watchdog = run.context().loop().schedule((long) (limitMillis * PROBE_SHARE), this::probeEngine);
        }
    }

    /** Ends the attempt if its engine is gone; otherwise waits for the rest of the time. */
    private void probeEngine() {
        if (finished || !run.mayRetry(FailureKind.SILENT)) {
            return;
        }
        int generation = watchdogGeneration;
        run.silenceCheck().isDead(upstream()).subscribe(dead -> {
            if (finished || generation != watchdogGeneration) {
                return;
            }
            if (dead) {
                abandon(FailureKind.SILENT);
            } else {
                long rest = silenceMillis - (long) (silenceMillis * PROBE_SHARE);
                watchdog = run.context().loop().schedule(rest, this::checkSilenceCause);
            }
        });
    }

    /** Ends the attempt if another one would do better. */
    private void checkSilenceCause() {
        if (finished || !run.mayRetry(FailureKind.SILENT)) {
            return;
        }
        int generation = watchdogGeneration;
        run.silenceCheck().cause(choice, answerStarted()).subscribe(silence -> {
            if (finished || generation != watchdogGeneration) {
                return;
            }
            if (silence.failure() != null) {
                abandon(silence.failure());
            } else if (run.wouldBeFasterElsewhere(this)) {
                abandon(FailureKind.PASSED_OVER);
            } else {
                watchdog(silenceMillis);
            }
        });
    }

    /** Ends the attempt of a plain request if another one may be made. */
    private void abandonIfRetryAllowed() {
        if (!finished && run.mayRetry(FailureKind.SILENT)) {
            abandon(FailureKind.SILENT);
        }
    }

    /** Ends the attempt. */
    private void abandon(FailureKind kind) {
        call.cancel();
        failed(kind);
    }

    /** Tells whether events of the answer came. */
    boolean answerStarted() {
        return false;
    }

    /** Ends the attempt, as the process that it was sent to is over. */
    final void upstreamRestarted() {
        if (call != null && !finished) {
            call.cancel();
            failed(FailureKind.RESET);
        }
    }

    /** Returns the upstreams that it uses. */
    final UpstreamChoice choice() {
        return choice;
    }

    /** Returns the upstream that answers. */
    final UpstreamEntry upstream() {
        return choice.upstream();
    }

    /** Returns when it was sent. */
    final long startMillis() {
        return startMillis;
    }

    /** Returns the request's run. */
    final RequestRun run() {
        return run;
    }

    /** Ends the attempt; the upstream notices. */
    final void cancel() {
        if (!finished) {
            close();
            if (call != null) {
                call.cancel();
            }
        }
    }

    /** Stops or resumes reading the answer. */
    final void read(boolean reading) {
        if (call != null && !finished) {
            call.read(reading);
        }
    }

    /** Notes that nothing more is expected. */
    private void close() {
        finished = true;
        watchdog(0);
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public boolean mayBeSent() {
        return run.mayBeSent(this);
    }

    @Override
    public void head(ResponseHead answer, HttpResponse response) {
        head = answer;
        raw = response;
        run.answerHeadReceived(this, answer);
    }

    @Override
    public void lateResponse(ResponseHead answer) {
        run.lateAnswerReceived(this, answer);
    }

    @Override
    public void data(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        body.addComponent(true, data.retain());
        if (body.readableBytes() > MAX_HELD_BYTES) {
            cancel();
            run.attemptFailed(this, FailureKind.SPOILED);
        }
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        FailureKind failure = failureOf(head);
        if (failure == null || failure == FailureKind.ERROR && !run.mayRetry(failure)) {
            ByteBuf whole = body == null ? Unpooled.EMPTY_BUFFER : body;
            body = null;
            close();
            run.answered(this, failure == null, raw, whole);
        } else {
            failed(failure);
        }
    }

    /** Says what is wrong with an answer that came whole; {@code null} if nothing is. */
    static FailureKind failureOf(ResponseHead answer) {
        if (answer.wrongInstance()) {
            return FailureKind.OTHER_INSTANCE;
        }
        if (answer.notRun()) {
            return rejectionKind(answer);
        }
        if (answer.success()) {
            return answer.sealed() && !answer.contentEncoded() ? null : FailureKind.SPOILED;
        }
        boolean serverError = answer.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        return serverError ? FailureKind.ERROR : null;
    }

    /** Says why an upstream did not run a request. */
    private static FailureKind rejectionKind(ResponseHead answer) {
        if (answer.faultyHelperAddress() != null) {
            return FailureKind.HELPER_GONE;
        }
        if (answer.notice().drain() == AdvertisedDrain.DRAINING) {
            return FailureKind.DRAINING;
        }
        boolean requestsBackOff = answer.notice().backOff().kind() == AdvertisedBackOff.Kind.PRESENT;
        return requestsBackOff ? FailureKind.BACK_OFF : FailureKind.FULL;
    }

    /** Returns the helper that the answer names as the one at fault, or the upstream if it names none. */
    final UpstreamId faultyHelper() {
        return choice.helpers().stream()
                .filter(helper -> helper.address().toString().equals(head.faultyHelperAddress()))
                .map(UpstreamEntry::id)
                .findFirst()
                .orElse(choice.upstream().id());
    }

    @Override
    public void failed(FailureKind kind) {
        if (!finished) {
            close();
            run.attemptFailed(this, kind);
        }
    }

    /** Tells whether nothing more is expected. */
    final boolean finished() {
        return finished;
    }

    /** Notes that the answer came whole. */
    final void finish() {
        close();
    }
}
