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
    private static final int MOST_HELD_BYTES = 4 * 1024 * 1024;

    /** Share of the allowed silence after which the engine is asked whether it is there. */
    private static final double ASK_SHARE = 0.45;

    private final RequestRun run;
    private final UpstreamChoice choice;
    private final long startMillis;
    private UpstreamCall call;
    private ScheduledFuture<?> watch;
    private long silenceMillis;
    private int watches;
    private boolean over;
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
        if (!over) {
            watch(limitMillis);
        }
    }

    /** Expects something within a time; 0 expects nothing. */
    final void watch(long limitMillis) {
        if (watch != null) {
            watch.cancel(false);
        }
        silenceMillis = limitMillis;
        watches++;
        if (limitMillis <= 0) {
            watch = null;
        } else if (choice.placement() == null) {
            watch = run.context().loop().schedule(limitMillis, this::giveUpIfAllowed);
        } else {
            watch = run.context().loop().schedule((long) (limitMillis * ASK_SHARE), this::silentForLong);
        }
    }

    /** Ends the attempt if its engine is gone; otherwise waits for the rest of the time. */
    private void silentForLong() {
        if (over || !run.mayTryAgain(FailureKind.SILENT)) {
            return;
        }
        int mine = watches;
        run.silence().gone(upstream()).subscribe(gone -> {
            if (over || mine != watches) {
                return;
            }
            if (gone) {
                giveUp(FailureKind.SILENT);
            } else {
                long rest = silenceMillis - (long) (silenceMillis * ASK_SHARE);
                watch = run.context().loop().schedule(rest, this::silentForTooLong);
            }
        });
    }

    /** Ends the attempt if another one would do better. */
    private void silentForTooLong() {
        if (over || !run.mayTryAgain(FailureKind.SILENT)) {
            return;
        }
        int mine = watches;
        run.silence().reason(choice, begun()).subscribe(silence -> {
            if (over || mine != watches) {
                return;
            }
            if (silence.failure() != null) {
                giveUp(silence.failure());
            } else if (run.wouldBeFasterElsewhere(this)) {
                giveUp(FailureKind.PASSED_OVER);
            } else {
                watch(silenceMillis);
            }
        });
    }

    /** Ends the attempt of a plain request if another one may be made. */
    private void giveUpIfAllowed() {
        if (!over && run.mayTryAgain(FailureKind.SILENT)) {
            giveUp(FailureKind.SILENT);
        }
    }

    /** Ends the attempt. */
    private void giveUp(FailureKind kind) {
        call.cancel();
        failed(kind);
    }

    /** Tells whether events of the answer came. */
    boolean begun() {
        return false;
    }

    /** Ends the attempt, as the process that it was sent to is over. */
    final void lost() {
        if (call != null && !over) {
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
        if (!over) {
            close();
            if (call != null) {
                call.cancel();
            }
        }
    }

    /** Stops or resumes reading the answer. */
    final void read(boolean reading) {
        if (call != null && !over) {
            call.read(reading);
        }
    }

    /** Notes that nothing more is expected. */
    private void close() {
        over = true;
        watch(0);
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
        run.answerBegan(this, answer);
    }

    @Override
    public void late(ResponseHead answer) {
        run.lateAnswer(this, answer);
    }

    @Override
    public void data(ByteBuf data) {
        if (body == null) {
            body = Unpooled.compositeBuffer(Integer.MAX_VALUE);
        }
        body.addComponent(true, data.retain());
        if (body.readableBytes() > MOST_HELD_BYTES) {
            cancel();
            run.attemptFailed(this, FailureKind.SPOILED);
        }
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        FailureKind failure = failureOf(head);
        if (failure == null || failure == FailureKind.ERROR && !run.mayTryAgain(failure)) {
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
        if (answer.otherInstance()) {
            return FailureKind.OTHER_INSTANCE;
        }
        if (answer.notRun()) {
            return turnedAway(answer);
        }
        if (answer.success()) {
            return answer.sealed() && !answer.encoded() ? null : FailureKind.SPOILED;
        }
        boolean serverError = answer.status() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        return serverError ? FailureKind.ERROR : null;
    }

    /** Says why an upstream did not run a request. */
    private static FailureKind turnedAway(ResponseHead answer) {
        if (answer.faultyAddress() != null) {
            return FailureKind.HELPER_GONE;
        }
        if (answer.notice().drain() == AdvertisedDrain.DRAINING) {
            return FailureKind.DRAINING;
        }
        boolean asks = answer.notice().backOff().kind() == AdvertisedBackOff.Kind.STATED;
        return asks ? FailureKind.BACK_OFF : FailureKind.FULL;
    }

    /** Returns the helper that the answer names as the one at fault, or the upstream if it names none. */
    final UpstreamId faultyHelper() {
        return choice.helpers().stream()
                .filter(helper -> helper.address().toString().equals(head.faultyAddress()))
                .map(UpstreamEntry::id)
                .findFirst()
                .orElse(choice.upstream().id());
    }

    @Override
    public void failed(FailureKind kind) {
        if (!over) {
            close();
            run.attemptFailed(this, kind);
        }
    }

    /** Tells whether nothing more is expected. */
    final boolean over() {
        return over;
    }

    /** Notes that the answer came whole. */
    final void finish() {
        close();
    }
}
