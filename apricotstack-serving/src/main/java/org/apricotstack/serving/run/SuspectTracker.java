package org.apricotstack.serving.run;

import io.netty.buffer.ByteBuf;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * What one run has to do with suspected requests.
 *
 * <p>The body is hashed only if an upstream ended under the run, or if a request with the same head is suspected: a
 * prompt of a million tokens takes about 10 ms, which its first token would wait for.
 */
final class SuspectTracker {

    private final SuspectGate gate;
    private final RequestFacts facts;
    private ByteBuf body;
    private Long head;
    private RequestDigest digest;
    private boolean trialStarted;

    /** Creates the suspicion of a run whose body has not come. */
    SuspectTracker(SuspectGate gate, RequestFacts facts) {
        this.gate = gate;
        this.facts = facts;
    }

    /** Notes the body, which is hashed only while the run holds it. */
    void body(ByteBuf whole) {
        body = whole;
    }

    /** Returns what tells the request apart over its repeats. */
    RequestDigest digest() {
        if (digest == null) {
            digest = new RequestDigest(head(), RequestDigest.hashBody(body.nioBuffers(), facts.clientAccountId()));
        }
        return digest;
    }

    /** Returns the hash of all but the body. */
    private long head() {
        if (head == null) {
            head = facts.headDigest(body.readableBytes());
        }
        return head;
    }

    /** Tells whether this is a suspected request. */
    boolean matches(RequestDigest request) {
        return body != null && request.head() == head() && request.equals(digest());
    }

    /** Decides what is done with the request before it is sent. */
    SuspectDecision decide() {
        boolean unknown = gate.isIdle() || !gate.mayContain(head());
        return unknown ? SuspectDecision.SEND : gate.decide(digest());
    }

    /** Notes that it is sent on a decision. */
    void sent(SuspectDecision decision, UpstreamId upstream, long limitMillis) {
        if (decision.action() == SuspectDecision.Action.TRY) {
            trialStarted(upstream, limitMillis);
        }
    }

    /** Notes that it is at an upstream, so that the same request is sent to no other meanwhile. */
    void trialStarted(UpstreamId upstream, long limitMillis) {
        trialStarted = true;
        gate.trialStarted(digest(), upstream, limitMillis);
    }

    /** Tells whether it is the cause of its upstreams' ends. */
    boolean isRefused() {
        return gate.isRefused(digest());
    }

    /** Tells whether it is suspected, and was sent before that was known, so that its repeats may be sent too. */
    boolean isSentBeforeSuspected() {
        return !trialStarted && gate.isSuspected(digest());
    }

    /** Returns what tells the request apart if it is refused as suspected, else {@code null}. */
    RequestDigest digestIfSuspected(RefusalCause cause) {
        return cause == RefusalCause.ENDS_UPSTREAMS || cause == RefusalCause.REPEAT_IN_TRIAL ? digest() : null;
    }

    /** Notes that it is at no upstream any more. */
    void attemptEnded() {
        if (trialStarted) {
            trialStarted = false;
            gate.trialEnded(digest());
        }
    }

    /** Notes that an upstream ran it to its end. */
    void served() {
        if (!gate.isIdle() && gate.mayContain(head())) {
            gate.served(digest());
        }
    }
}
