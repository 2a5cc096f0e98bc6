package org.apricotstack.serving.run;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.http.CallerExchange;
import org.apricotstack.serving.http.CallerRequestListener;
import org.apricotstack.serving.http.PlainProtocol;
import org.apricotstack.serving.http.ResponseHead;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * The life of one request, from its body to its final answer.
 *
 * <p>It is sent to one upstream after the other, as often as its route allows. A request that must not run twice is
 * sent again only if it is certain that it has not run. A stream that breaks goes on at another upstream after the last
 * whole event, inside the same answer.
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
    private final RunSuspicion suspicion;
    private final RunLog log;
    private final Consumer<RequestRun> onEnd;
    private final RequestSender sender;
    private final ScheduledFuture<?> timeLimit;
    private ByteBuf body;
    private int bodyBytes;
    private boolean over;

    /** Begins a run; it waits for the body. */
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
        this.suspicion = new RunSuspicion(gate, facts);
        this.log = new RunLog(context, facts, attempts, progress);
        this.sender = new RequestSender(this, chooser, gates, facts, attempts, progress, suspicion, log);
        this.timeLimit = context.loop().schedule(facts.leftMillis(context.nowMillis()), this::timeOver);
        log.arrived();
    }

    /** Returns what requests share. */
    ServingContext context() {
        return context;
    }

    /** Tells whether it has ended. */
    boolean over() {
        return over;
    }

    /** Returns what finds out why an engine is silent. */
    SilenceCheck silence() {
        return chooser.silence();
    }

    @Override
    public void body(ByteBuf whole) {
        if (over) {
            whole.release();
            return;
        }
        if (!context.bodies().tryReserve(whole.readableBytes())) {
            whole.release();
            endWithout(RefusalCause.BODY_MEMORY);
            return;
        }
        bodyBytes = whole.readableBytes();
        body = whole;
        sender.body(whole);
        context.budgets().of(facts.service()).request(context.nowMillis());
        sender.send();
    }

    /** Tells whether a stream that waits for a busy engine would go on sooner at another one. */
    boolean wouldBeFasterElsewhere(Attempt attempt) {
        return sender.wouldBeFasterElsewhere(attempt);
    }

    /** Tells whether another send may follow a failure of the current one. */
    boolean mayTryAgain(FailureKind kind) {
        return attempts.whyNotAgain(kind, false, facts.leftMillis(context.nowMillis())) == null;
    }

    /** Tells whether an attempt may still be given to the upstreams that were chosen for it. */
    boolean mayBeSent(Attempt attempt) {
        return gates.whyNotSent(attempt.choice()) == null;
    }

    /** Takes the failure of an attempt: sends again or ends. */
    void attemptFailed(Attempt attempt, FailureKind kind) {
        if (over || attempt != sender.current()) {
            return;
        }
        sender.end(attempt);
        UpstreamId blamed = kind == FailureKind.HELPER_GONE
                ? attempt.faultyHelper()
                : attempt.upstream().id();
        boolean isFree = attempts.isFree(kind, context.upstreams().isDraining(blamed));
        attempts.failed(kind, isFree);
        if (kind != FailureKind.WITHHELD && kind != FailureKind.BACK_OFF) {
            sender.exclude(blamed);
        }
        chooser.failed(blamed, kind);
        if (gate.mayHaveEnded(attempt.upstream(), kind)) {
            RequestDigest digest = suspicion.digest();
            gate.brokeOff(attempt.upstream(), digest, attempt.begun(), ended -> {
                log.brokeOff(attempt, digest, ended);
                goOn(attempt, kind, isFree);
            });
        } else {
            goOn(attempt, kind, isFree);
        }
    }

    /** Sends again after a failure, or ends. */
    private void goOn(Attempt attempt, FailureKind kind, boolean isFree) {
        if (over) {
            return;
        }
        long now = context.nowMillis();
        RefusalCause cause = attempts.whyNotAgain(kind, isFree, facts.leftMillis(now));
        if (cause == null && !isFree && !context.budgets().of(facts.service()).trySpend(now)) {
            cause = RefusalCause.RETRY_BUDGET;
        }
        log.failed(attempt, kind, cause, now);
        if (cause == null) {
            sender.send();
        } else {
            endWithout(cause);
        }
    }

    /**
     * Ends the attempt that runs in a start of an upstream that is over. Its connection may be silent, and only the
     * time limit would end it. A request that must not run twice is left to the end of its connection.
     */
    void lostWith(UpstreamId start) {
        Attempt attempt = sender.current();
        if (attempt != null
                && facts.route().idempotent()
                && attempt.upstream().id().equals(start)) {
            attempt.lost();
        }
    }

    /**
     * Takes in that more is known of a request under which upstreams ended. If it is this one, it is taken back from an
     * upstream that has not begun to answer: to be refused, or to be sent again once no other router tries the same.
     * One that cannot be sent again goes on, and the others wait for it.
     */
    void suspected(RequestDigest request) {
        Attempt attempt = sender.current();
        if (over || attempt == null || attempt.begun() || !suspicion.is(request)) {
            return;
        }
        if (suspicion.isRefused()) {
            attempts.leftAtWork();
            endWithout(RefusalCause.ENDS_UPSTREAMS);
        } else if (suspicion.isOneOfMany() && facts.route().idempotent() && mayTryAgain(FailureKind.WITHDRAWN)) {
            attempt.cancel();
            attemptFailed(attempt, FailureKind.WITHDRAWN);
        } else if (suspicion.isOneOfMany()) {
            suspicion.tries(attempt.upstream().id(), facts.leftMillis(context.nowMillis()));
        }
    }

    /** Takes the beginning of an answer, whatever follows. */
    void answerBegan(Attempt attempt, ResponseHead answer) {
        stated(attempt, answer, attempt.startMillis());
    }

    /** Takes the beginning of an answer to an earlier request; it may begin what it says, but end nothing. */
    void lateAnswer(Attempt attempt, ResponseHead answer) {
        stated(attempt, answer, Long.MIN_VALUE);
    }

    /** Takes in what an upstream says of itself; what another one at its address says concerns the other one. */
    private void stated(Attempt attempt, ResponseHead answer, long sentMillis) {
        if (!answer.otherInstance()) {
            gates.answered(
                    attempt.upstream().id(),
                    answer.notice(),
                    sentMillis,
                    facts.request().id());
        }
    }

    /** Takes a whole answer, or an upstream's failure that is passed on as it is. */
    void answered(Attempt attempt, boolean success, HttpResponse raw, ByteBuf answer) {
        if (over) {
            answer.release();
            return;
        }
        if (success) {
            context.outlierDetector().succeeded(attempt.upstream().id());
        }
        if (exchange.begun()) {
            answer.release();
            sender.end(attempt);
            endWithout(RefusalCause.ATTEMPTS_USED);
            return;
        }
        long now = context.nowMillis();
        context.metrics().firstAnswer(facts.route().kind(), now - facts.arrivedMillis());
        exchange.answer(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()), answer);
        finish("answered", attempt, raw.status().code());
    }

    /** Takes an event of a stream and passes it on unless it is there already. */
    void event(Attempt attempt, HttpResponse raw, EventSplitter.Event event) {
        if (over || !progress.isNext(event.id())) {
            event.bytes().release();
            if (!over && progress.misses(event.id())) {
                attempt.cancel();
                attemptFailed(attempt, FailureKind.SPOILED);
            }
            return;
        }
        long now = context.nowMillis();
        chooser.silence().progress(attempt.upstream().id());
        if (progress.firstOf(attempt)) {
            chooser.writing(attempt.choice());
            log.firstEvent(attempt, !exchange.begun(), now);
        }
        progress.took(event.id(), now);
        if (!exchange.begun()) {
            exchange.begin(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()));
        }
        exchange.data(event.bytes());
        if (!exchange.writable()) {
            attempt.read(false);
        }
    }

    /** Takes the whole end of a stream. */
    void streamed(Attempt attempt, HttpResponse raw) {
        if (over) {
            return;
        }
        context.outlierDetector().succeeded(attempt.upstream().id());
        if (!exchange.begun()) {
            exchange.begin(raw.status(), PlainProtocol.withoutHopByHop(raw.headers()));
        }
        exchange.complete();
        finish("streamed", attempt, raw.status().code());
    }

    /** Ends the run with an answer of an upstream. */
    private void finish(String how, Attempt attempt, int status) {
        log.answered(how, attempt, status, context.nowMillis());
        suspicion.served();
        sender.end(attempt);
        close();
    }

    /** Ends the time of the request. */
    private void timeOver() {
        if (!over) {
            if (sender.current() != null) {
                attempts.leftAtWork();
            }
            endWithout(RefusalCause.TIME_LIMIT);
        }
    }

    /** Ends the run without an answer of an upstream. */
    void endWithout(RefusalCause cause) {
        endWithout(cause, CallerPatience.retryAfterMillis(cause, facts.leftMillis(context.nowMillis())));
    }

    /** Ends the run without an answer of an upstream, and tells the caller when to come back; 0 for no advice. */
    void endWithout(RefusalCause cause, long retryMillis) {
        if (over) {
            return;
        }
        long now = context.nowMillis();
        boolean begun = exchange.begun();
        int status = begun
                ? 0
                : RequestDispatcher.status(cause, attempts.mayHaveRun()).code();
        log.refused(cause, status, retryMillis, suspicion.digestOf(cause), now);
        sender.cancel();
        close();
        if (begun) {
            exchange.abort();
        } else {
            RequestDispatcher.answer(exchange, cause, attempts.mayHaveRun(), retryMillis);
        }
    }

    /** Frees what the run used. */
    private void close() {
        if (!over) {
            over = true;
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
        if (!over) {
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
