package org.apricotstack.serving.run;

import io.netty.buffer.ByteBuf;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Connects one run to the suspicion of its request.
 *
 * <p>The body is hashed only if an upstream crashed during the run, or if a suspected request has the same head.
 * Hashing a prompt of a million tokens takes about 10 ms and would delay the first token.
 */
final class SuspectTracker {

    private final SuspectGate gate;
    private final RequestFacts facts;
    private ByteBuf body;
    private Long head;
    private RequestDigest digest;
    private boolean trialStarted;

    /** Creates the tracker of a run whose body has not arrived. */
    SuspectTracker(SuspectGate gate, RequestFacts facts) {
        this.gate = gate;
        this.facts = facts;
    }

    /** Sets the body, which is hashed only while the run holds it. */
    void body(ByteBuf whole) {
        body = whole;
    }

    /** Returns the digest that is the same for all repeats of the request. */
    RequestDigest digest() {
        if (digest == null) {
            digest = new RequestDigest(head(), RequestDigest.hashBody(body.nioBuffers(), facts.clientAccountId()));
        }
        return digest;
    }

    /** Returns the hash of the request without its body. */
    private long head() {
        if (head == null) {
            head = facts.headDigest(body.readableBytes());
        }
        return head;
    }

    /** Returns whether this run has the given request. */
    boolean matches(RequestDigest request) {
        return body != null && request.head() == head() && request.equals(digest());
    }

    /** Decides whether the request may be sent. */
    SuspectDecision decide() {
        boolean unknown = gate.isIdle() || !gate.mayContain(head());
        return unknown ? SuspectDecision.SEND : gate.decide(digest());
    }

    /** Starts a trial if the decision requires one for this attempt. */
    void sent(SuspectDecision decision, UpstreamId upstream, long limitMillis) {
        if (decision.action() == SuspectDecision.Action.TRY) {
            trialStarted(upstream, limitMillis);
        }
    }

    /** Records that the request is at an upstream, so that identical requests are not sent to others meanwhile. */
    void trialStarted(UpstreamId upstream, long limitMillis) {
        trialStarted = true;
        gate.trialStarted(digest(), upstream, limitMillis);
    }

    /** Returns whether the request was found to be the cause of crashes. */
    boolean isRefused() {
        return gate.isRefused(digest());
    }

    /** Returns whether the request became suspected after it was sent, so that identical ones may be in flight too. */
    boolean isSentBeforeSuspected() {
        return !trialStarted && gate.isSuspected(digest());
    }

    /** Returns the digest if the request is refused as suspected, else {@code null}. */
    RequestDigest digestIfSuspected(RefusalCause cause) {
        return cause == RefusalCause.ENDS_UPSTREAMS || cause == RefusalCause.REPEAT_IN_TRIAL ? digest() : null;
    }

    /** Records that no upstream has the request any more. */
    void attemptEnded() {
        if (trialStarted) {
            trialStarted = false;
            gate.trialEnded(digest());
        }
    }

    /** Records that an upstream completed the request. */
    void served() {
        if (!gate.isIdle() && gate.mayContain(head())) {
            gate.served(digest());
        }
    }
}
