package org.apricotstack.serving.run;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.retry.FleetRetryBudget;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.http.CallerExchange;
import org.apricotstack.serving.http.CallerRequestListener;
import org.apricotstack.serving.http.PlainProtocol;
import org.apricotstack.serving.http.ResponseHead;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Runs one request, from the arrival of its body to the final response.
 *
 * <p>It is sent to one upstream after the other, as often as its route allows. A non-idempotent request is retried only
 * if it is certain that it has not run. A broken stream is resumed at another upstream after the last complete event,
 * within the same response to the caller.
 */
final class RequestRun implements CallerRequestListener {

    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final CallerExchange exchange;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;
    private final SuspectGate gate;
    private final UpstreamGates gates;
    private final SuspectTracker suspectTracker;
    private final RequestLog log;
    private final Consumer<RequestRun> onEnd;
    private final RequestSender sender;
    private final ScheduledFuture<?> timeLimit;
    private ByteBuf body;
    private int bodyBytes;
    private boolean finished;

    /** Creates a run that waits for the body. */
    RequestRun(
            ServingContext context,
            UpstreamChooser chooser,
            SuspectGate gate,
            UpstreamGates gates,
            CallerExchange exchange,
            RequestFacts facts,
            Consumer<RequestRun> onEnd) {
        this.context = context;
        this.chooser = chooser;
        this.exchange = exchange;
        this.facts = facts;
        this.onEnd = onEnd;
        this.attempts = new AttemptCount(facts.route());
        this.progress = new StreamProgress(facts.request().lastEventId());
        this.gate = gate;
        this.gates = gates;
        this.suspectTracker = new SuspectTracker(gate, facts);
        this.log = new RequestLog(context, facts, attempts, progress);
        this.sender = new RequestSender(this, chooser, gates, facts, attempts, progress, suspectTracker, log);
        this.timeLimit = context.loop().schedule(facts.remainingMillis(context.nowMillis()), this::timedOut);
        log.arrived(exchange.callerIp());
    }

    /** Returns the shared context. */
    ServingContext context() {
        return context;
    }

    /** Returns whether the run has ended. */
    boolean finished() {
        return finished;
    }

    /** Returns the check that explains why an engine is silent. */
    SilenceCheck silenceCheck() {
        return chooser.silenceCheck();
    }

    @Override
    public void body(ByteBuf whole) {
        if (finished) {
            whole.release();
            return;
        }
        if (!context.bodies().tryReserve(whole.readableBytes())) {
            whole.release();
            endWithRefusal(RefusalCause.BODY_MEMORY);
            return;
        }
        bodyBytes = whole.readableBytes();
        body = whole;
        sender.body(whole);
        retries().request(context.nowMillis());
        sender.send();
    }

    /** Returns the check whether the current attempt may be given up. */
    ReplacementCheck replacements() {
        return sender.replacements();
    }

    /** Returns whether the current attempt may be retried after a failure. */
    boolean mayRetry(FailureKind kind) {
        return replacements().retryObstacle(kind) == null;
    }

    /** Returns whether an attempt may still be sent to the upstreams chosen for it. */
    boolean mayBeSent(Attempt attempt) {
        return gates.unavailableCause(attempt.choice()) == null;
    }

    /** Processes the failure of an attempt: retries or refuses the request. */
    void attemptFailed(Attempt attempt, FailureKind kind) {
        if (finished || attempt != sender.current()) {
            return;
        }
        sender.end(attempt);
        if (attempt.takesRetry() && !kind.arrives()) {
            retries().refund(context.nowMillis());
        }
        UpstreamId responsible = kind == FailureKind.HELPER_GONE
                ? attempt.faultyHelper()
                : attempt.upstream().id();
        boolean isUncounted = attempts.isUncounted(kind, context.upstreams().isDraining(responsible));
        attempts.failed(kind, isUncounted);
        if (kind.concernsUpstream()) {
            sender.exclude(responsible);
        }
        chooser.failed(attempt.choice(), responsible, kind);
        if (gate.mayHaveCrashed(attempt.upstream(), kind)) {
            gate.attemptInterrupted(attempt.upstream(), suspectTracker, attempt.answerStarted(), crashed -> {
                log.attemptInterrupted(attempt, suspectTracker.digest(), crashed);
                retryOrRefuse(attempt, kind, isUncounted);
            });
        } else {
            retryOrRefuse(attempt, kind, isUncounted);
        }
    }

    /** Returns the retry budget of the service. */
    private FleetRetryBudget retries() {
        return context.budgets().of(facts.service());
    }

    /** Retries the request after a failure, or refuses it. */
    private void retryOrRefuse(Attempt attempt, FailureKind kind, boolean isUncounted) {
        if (finished) {
            return;
        }
        long now = context.nowMillis();
        RefusalCause cause = attempts.retryRefusal(kind, isUncounted, facts.remainingMillis(now));
        if (cause == null && !exchange.answerStarted() && !sender.mayComplete(now)) {
            cause = RefusalCause.STOPPING;
        }
        if (cause == null && attempts.arrivals() > 0 && !replacements().hasRetry()) {
            cause = RefusalCause.RETRY_BUDGET;
        }
        log.failed(attempt, kind, cause, now);
        if (cause == null) {
            sender.send();
        } else {
            endWithRefusal(cause);
        }
    }

    /**
     * Fails the attempt at an incarnation of an upstream that no longer runs. Its connection may be silent, so that it
     * would otherwise end only by the time limit. A non-idempotent request waits until its connection is closed.
     */
    void upstreamRestarted(UpstreamId incarnation) {
        Attempt attempt = sender.current();
        if (attempt != null
                && facts.route().idempotent()
                && attempt.upstream().id().equals(incarnation)) {
            attempt.upstreamRestarted();
        }
    }

    /** Records that an attempt is sent through another router. */
    void relayed(Attempt attempt, Address relay) {
        log.relayed(attempt, relay);
    }

    /** Gives up the current attempt if it may be retried and nothing arrives on its direct connection. */
    void linkSilent(Address upstream, long silentSinceMillis) {
        Attempt attempt = sender.current();
        if (attempt != null && attempt.upstream().address().equals(upstream) && mayRetry(FailureKind.LINK_LOST)) {
            attempt.linkSilent(silentSinceMillis);
        }
    }

    /**
     * Re-evaluates the current attempt after more became known about a request or prompt part that was in flight when
     * upstreams crashed. If the upstream has not started to respond, the attempt is withdrawn: the request is refused,
     * or retried once no other router has the same one in trial. One that may not be retried continues.
     */
    void recheckSuspicion(RequestTrait trait) {
        Attempt attempt = sender.current();
        if (finished || attempt == null || attempt.answerStarted() || !suspectTracker.matches(trait)) {
            return;
        }
        RefusalCause refusal = suspectTracker.refusal();
        if (refusal != null) {
            attempts.endedInFlight(attempt);
            endWithRefusal(refusal);
        } else if (!trait.isShared()) {
            withdrawOrTry(attempt);
        }
    }

    /** Withdraws the attempt of a request that was suspected after it was sent, or makes identical ones wait for it. */
    private void withdrawOrTry(Attempt attempt) {
        if (!suspectTracker.isSentBeforeSuspected()) {
            return;
        }
        if (facts.route().idempotent() && mayRetry(FailureKind.WITHDRAWN)) {
            attempt.cancel();
            attemptFailed(attempt, FailureKind.WITHDRAWN);
        } else {
            suspectTracker.trialStarted(attempt.upstream().id(), facts.remainingMillis(context.nowMillis()));
        }
    }

    /** Processes the head of a response, whatever follows. */
    void answerHeadReceived(Attempt attempt, ResponseHead answer) {
        gates.answered(
                attempt.upstream().id(),
                answer,
                attempt.startMillis(),
                facts.request().id());
    }

    /**
     * Processes the head of a late response to an earlier request; its notice may start a limit, drain or back-off, but
     * not end one.
     */
    void lateAnswerReceived(Attempt attempt, ResponseHead answer) {
        gates.answered(
                attempt.upstream().id(), answer, Long.MIN_VALUE, facts.request().id());
    }

    /** Processes a complete response, or an upstream's error that is forwarded unchanged. */
    void answered(Attempt attempt, boolean success, HttpResponse raw, ByteBuf answer) {
        if (finished) {
            answer.release();
            return;
        }
        if (success) {
            chooser.answered(facts, attempt, raw.status());
        }
        if (exchange.answerStarted()) {
            answer.release();
            sender.end(attempt);
            endWithRefusal(RefusalCause.ATTEMPTS_USED);
            return;
        }
        long now = context.nowMillis();
        context.metrics().firstAnswer(facts.route().kind(), now - facts.arrivedMillis());
        exchange.answer(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()), answer);
        finish("answered", attempt, raw, success);
    }

    /** Processes an event of a stream and forwards it unless it is a duplicate. */
    void event(StreamAttempt attempt, HttpResponse raw, EventSplitter.Event event) {
        if (finished || !progress.isNext(event.id())) {
            event.bytes().release();
            if (!finished && (progress.skipsEvents(event.id()) || !attempt.mayRepeat(progress.events()))) {
                attempt.spoiled();
            }
            return;
        }
        long now = context.nowMillis();
        chooser.silenceCheck().eventReceived(attempt.upstream().id());
        if (progress.isFirstOf(attempt)) {
            chooser.decodeStarted(attempt.choice());
            log.firstEvent(attempt, !exchange.answerStarted(), now);
        }
        progress.eventForwarded(event.id(), now);
        if (!exchange.answerStarted()) {
            exchange.begin(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()));
        }
        exchange.data(event.bytes());
        if (!exchange.writable()) {
            attempt.read(false);
        }
    }

    /** Processes the complete end of a stream. */
    void streamCompleted(Attempt attempt, HttpResponse raw) {
        if (finished) {
            return;
        }
        context.outlierDetector().succeeded(attempt.upstream().id());
        if (!exchange.answerStarted()) {
            exchange.begin(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()));
        }
        exchange.complete();
        finish("streamed", attempt, raw, true);
    }

    /** Ends the run with the response of an upstream. */
    private void finish(String event, Attempt attempt, HttpResponse raw, boolean success) {
        long now = context.nowMillis();
        log.answered(event, attempt, raw.status().code(), now);
        if (attempts.sent() == 1) {
            context.stop().completed(facts, attempt.choice().predictedMillis(), attempt.startMillis(), now);
        }
        suspectTracker.answered(
                success && PlainProtocol.isFramed(facts.request().head().method(), raw));
        sender.end(attempt);
        close();
    }

    /** Ends the run because the process ends; a stream that has started is cut. */
    void processEnds() {
        long now = context.nowMillis();
        log.cutByStop(sender.current(), exchange.answerStarted(), now);
        attempts.endedInFlight(sender.current());
        endWithRefusal(RefusalCause.STOPPING, context.stop().retryAfterMillis(RequestDuration.NONE, now));
    }

    /** Ends the run because its time limit has passed. */
    private void timedOut() {
        attempts.endedInFlight(sender.current());
        endWithRefusal(RefusalCause.TIME_LIMIT);
    }

    @Override
    public void failed() {
        attempts.endedInFlight(sender.current());
        endWithRefusal(RefusalCause.INTERNAL_ERROR);
    }

    /** Ends the run without a response of an upstream. */
    void endWithRefusal(RefusalCause cause) {
        endWithRefusal(cause, TimeoutPolicy.retryAfterMillis(cause, facts.remainingMillis(context.nowMillis())));
    }

    /**
     * Ends the run without a response of an upstream, and tells the caller after how many milliseconds to retry; 0 for
     * no advice.
     */
    void endWithRefusal(RefusalCause cause, long retryMillis) {
        if (finished) {
            return;
        }
        long now = context.nowMillis();
        boolean answerStarted = exchange.answerStarted();
        int status = answerStarted
                ? 0
                : RequestDispatcher.status(cause, attempts.mayHaveRun()).code();
        log.refused(cause, status, retryMillis, suspectTracker.suspectedTrait(cause), now);
        sender.cancel();
        close();
        if (answerStarted) {
            exchange.abort();
        } else {
            RequestDispatcher.answer(exchange, cause, attempts.mayHaveRun(), retryMillis);
        }
    }

    /** Frees the resources of the run. */
    private void close() {
        if (!finished) {
            finished = true;
            replacements().release();
            timeLimit.cancel(false);
            if (body != null) {
                body.release();
                body = null;
            }
            context.bodies().release(bodyBytes);
            onEnd.accept(this);
        }
    }

    @Override
    public void disconnected() {
        if (!finished) {
            log.callerLeft(context.nowMillis());
            sender.cancel();
            close();
        }
    }

    @Override
    public void writable() {
        if (sender.current() != null) {
            sender.current().read(true);
        }
    }
}
