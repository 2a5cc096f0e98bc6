package org.apricotstack.serving.run;

import java.util.concurrent.ScheduledFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.BodyBuffer;
import org.apricotstack.serving.http.OutcomeSubscriber;
import org.apricotstack.serving.http.ResponseHead;
import org.apricotstack.serving.http.UpstreamCall;
import org.apricotstack.serving.http.UpstreamListener;
import org.apricotstack.serving.observe.KeptCause;
import reactor.core.publisher.Mono;

/**
 * One attempt to send a request to an upstream. Buffers the response until it is complete, so that another attempt can
 * replace a truncated one.
 */
class Attempt implements UpstreamListener {

    /** Largest response that is buffered, in bytes; plain services do not send larger ones. */
    private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

    /** Share of the allowed silence after which the engine is probed. */
    private static final double PROBE_SHARE = 0.45;

    private final RequestRun run;
    private final UpstreamChoice choice;
    private final long startMillis;
    private long sentMillis;
    private UpstreamCall call;
    private ScheduledFuture<?> watchdog;
    private long silenceMillis;
    private long silenceEndMillis;
    private int watchdogGeneration;
    private boolean takesRetry;
    private boolean kept;
    private boolean failureReported;
    private boolean finished;
    private boolean unidentifiedResponse;
    private ResponseHead head;
    private HttpResponse raw;
    private final BodyBuffer body = new BodyBuffer();

    /** Creates an attempt that has not been sent. */
    Attempt(RequestRun run, UpstreamChoice choice, long startMillis) {
        this.run = run;
        this.choice = choice;
        this.startMillis = startMillis;
        this.sentMillis = startMillis;
    }

    /** Sets the call that carries the attempt and starts the watchdog with the longest allowed silence. */
    void sent(UpstreamCall carrier, long limitMillis) {
        call = carrier;
        sentMillis = run.context().nowMillis();
        if (!finished) {
            watchdog(limitMillis);
        }
    }

    /** Returns when the request was sent; when the attempt started, if it was not sent. */
    final long sentMillis() {
        return sentMillis;
    }

    /** Records whether this attempt is charged to the retry budget. */
    void takesRetry(boolean taken) {
        takesRetry = taken;
    }

    /** Returns whether this attempt is charged to the retry budget. */
    boolean takesRetry() {
        return takesRetry;
    }

    /** Restarts the watchdog, which fires if nothing arrives within the limit; 0 stops it. */
    final void watchdog(long limitMillis) {
        if (watchdog != null) {
            watchdog.cancel(false);
        }
        silenceMillis = limitMillis;
        silenceEndMillis = run.context().nowMillis() + limitMillis;
        watchdogGeneration++;
        if (limitMillis <= 0) {
            watchdog = null;
        } else if (choice.placement() == null || unidentifiedResponse) {
            watchdog = run.context().loop().schedule(limitMillis, this::abandonAsSilent);
        } else {
            watchdog = run.context().loop().schedule((long) (limitMillis * PROBE_SHARE), this::probeEngine);
        }
    }

    /** Returns whether the attempt may be given up for silence; otherwise watches it again. */
    private boolean mayBeGivenUp() {
        if (finished) {
            return false;
        }
        KeptCause obstacle = run.replacements().retryObstacle(FailureKind.SILENT);
        if (obstacle != null) {
            keep(obstacle);
        }
        return obstacle == null;
    }

    /** Abandons the attempt if its engine is dead; otherwise waits for the rest of the allowed silence. */
    private void probeEngine() {
        if (!mayBeGivenUp()) {
            return;
        }
        ask(() -> run.silenceCheck().isDead(upstream()), dead -> {
            if (dead) {
                abandon(FailureKind.SILENT);
            } else {
                long rest = silenceMillis - (long) (silenceMillis * PROBE_SHARE);
                watchdog = run.context().loop().schedule(rest, this::checkSilenceCause);
            }
        });
    }

    /** Abandons the attempt if the cause of the silence or the load of other engines justifies a retry. */
    private void checkSilenceCause() {
        if (!mayBeGivenUp()) {
            return;
        }
        ask(() -> run.silenceCheck().cause(choice, answerStarted()), silence -> {
            if (silence.failure() != null) {
                abandon(silence.failure());
            } else if (run.replacements().wouldBeFasterElsewhere(this)) {
                abandon(FailureKind.PASSED_OVER);
            } else {
                watchdog(silenceMillis);
            }
        });
    }

    /** Passes on the result of a check unless the attempt went on meanwhile; waits again if the check fails. */
    private <T> void ask(Supplier<Mono<T>> check, Consumer<T> then) {
        int generation = watchdogGeneration;
        BooleanSupplier isCurrent = () -> !finished && generation == watchdogGeneration;
        OutcomeSubscriber.subscribe(
                run.context().loop(), Mono.defer(check).filter(result -> isCurrent.getAsBoolean()), then, error -> {
                    if (isCurrent.getAsBoolean()) {
                        watchdog(silenceMillis);
                    }
                });
    }

    /** Abandons the attempt at a plain service. */
    private void abandonAsSilent() {
        if (!finished) {
            abandon(silenceKind());
        }
    }

    /** Returns the kind of failure if no response follows. */
    private FailureKind silenceKind() {
        return unidentifiedResponse ? FailureKind.UNMATCHED : FailureKind.SILENT;
    }

    /**
     * Cancels the call and reports the failure if another upstream takes the request now; otherwise lets the attempt go
     * on, as its upstream may do so too.
     */
    private void abandon(FailureKind kind) {
        KeptCause obstacle = run.replacements().acquire(this, kind);
        if (obstacle == null) {
            if (kind == FailureKind.UNMATCHED) {
                run.context().connections().responseLost(upstream().address());
            }
            call.cancel();
            failed(kind);
        } else if (kind == silenceKind() && !obstacle.forbidsRetry()) {
            logKept(obstacle, kind);
            awaitReplacement();
        } else {
            keep(obstacle);
        }
    }

    /** Lets the attempt go on and checks it again after another silence. */
    private void keep(KeptCause cause) {
        logKept(cause, null);
        watchdog(silenceMillis);
    }

    /** Records that the attempt is kept, and the failure of its upstream if it is known, each only the first time. */
    private void logKept(KeptCause cause, FailureKind kind) {
        if (!kept) {
            kept = true;
            run.replacements().keptDespiteSilence(this, cause);
        }
        if (kind != null && !failureReported) {
            failureReported = true;
            run.replacements().upstreamFailed(this, kind);
        }
    }

    /** Checks after a short time whether another upstream can take the request of a silent upstream. */
    private void awaitReplacement() {
        watchdog = run.context().loop().schedule(TimeoutPolicy.RECHECK_MILLIS, this::recheckReplacement);
    }

    /** Checks the silent upstream again if another one can take the request now. */
    private void recheckReplacement() {
        if (finished) {
            return;
        }
        if (run.replacements().obstacle(this, silenceKind()) != null) {
            awaitReplacement();
        } else if (choice.placement() == null || unidentifiedResponse) {
            abandonAsSilent();
        } else {
            probeEngine();
        }
    }

    /** Returns whether events of the response have arrived. */
    boolean answerStarted() {
        return false;
    }

    /** Fails the attempt because the upstream process that it was sent to no longer exists. */
    final void upstreamRestarted() {
        if (call != null && !finished) {
            call.cancel();
            failed(FailureKind.RESET);
        }
    }

    /**
     * Gives up the attempt if nothing has arrived on its direct connection since the given time; the next one may reach
     * the same upstream through another router.
     */
    final void linkSilent(long silentSinceMillis) {
        if (!finished && call != null && call.isSilentDirectly(silentSinceMillis)) {
            call.cancel();
            failed(FailureKind.LINK_LOST);
        }
    }

    @Override
    public final void relayed(Address relay) {
        run.relayed(this, relay);
    }

    /** Returns the upstreams chosen for this attempt. */
    final UpstreamChoice choice() {
        return choice;
    }

    /** Returns the upstream that responds. */
    final UpstreamEntry upstream() {
        return choice.upstream();
    }

    /** Returns when the attempt was started, in milliseconds of the loop's clock. */
    final long startMillis() {
        return startMillis;
    }

    /** Returns the run of the request. */
    final RequestRun run() {
        return run;
    }

    /** Cancels the attempt and closes its connection, which the upstream detects. */
    final void cancel() {
        if (!finished) {
            close();
            if (call != null) {
                call.cancel();
            }
        }
    }

    /** Returns the call that carries the attempt, or {@code null} before it is sent. */
    final UpstreamCall call() {
        return call;
    }

    /** Counts an event of the response. */
    final void countEvent() {
        if (call != null) {
            call.countEvent();
        }
    }

    /** Pauses or resumes reading the response. */
    final void read(boolean reading) {
        if (call != null && !finished) {
            call.read(reading);
        }
    }

    /** Marks the attempt as finished and frees its buffer. */
    private void close() {
        finished = true;
        watchdog(0);
        body.drop();
    }

    @Override
    public boolean mayBeSent() {
        return run.mayBeSent(this);
    }

    @Override
    public void head(ResponseHead answer, HttpResponse response) {
        head = answer;
        raw = response;
        unidentifiedResponse &= choice.placement() == null;
        run.answerHeadReceived(this, answer);
    }

    @Override
    public void lateResponse(ResponseHead answer) {
        run.lateAnswerReceived(this, answer);
        if (answer.requestId() == null && silenceMillis > 0 && !finished) {
            unidentifiedResponse = true;
            awaitOwnResponse();
        }
    }

    /**
     * Shortens the watchdog after a response without an id. Either it is a late one, and the own response follows in
     * its usual time, or it is the own response, and no other one follows.
     */
    private void awaitOwnResponse() {
        long now = run.context().nowMillis();
        long expectedMillis = run.replacements().expectedMillis(choice);
        watchdog(TimeoutPolicy.ownResponseLimitMillis(expectedMillis, now - sentMillis, silenceEndMillis - now));
    }

    @Override
    public void data(ByteBuf data) {
        body.append(data);
        if (body.readableBytes() > MAX_BUFFERED_BYTES) {
            spoiled();
        }
    }

    /** Cancels the call because its response is malformed or too large. */
    final void spoiled() {
        cancel();
        run.attemptFailed(this, FailureKind.SPOILED);
    }

    @Override
    public void end() {
        if (finished) {
            return;
        }
        FailureKind failure = ResponseFailure.of(head);
        if (failure == null || failure == FailureKind.ERROR && !run.mayRetry(failure)) {
            ByteBuf whole = body.take();
            close();
            run.answered(this, failure == null, raw, whole);
        } else {
            failed(failure);
        }
    }

    /** Returns the helper that the response names as the faulty one, or the upstream if it names none. */
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

    /** Returns whether the attempt has ended. */
    final boolean finished() {
        return finished;
    }

    /** Marks the attempt as finished after a complete response. */
    final void finish() {
        close();
    }
}
