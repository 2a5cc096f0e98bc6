package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.suspect.SuspectDecision;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Connects one run to the suspicion of its request and of the prompt parts that it shares with others.
 *
 * <p>The body is hashed only if an upstream crashed during the run, or if a suspected request has the same head.
 * Hashing a prompt of a million tokens takes about 10 ms and would delay the first token.
 */
final class SuspectTracker {

    private final SuspectGate gate;
    private final RequestFacts facts;
    private final Set<RequestTrait> inTrial = new LinkedHashSet<>();
    private ByteBuf body;
    private Long head;
    private RequestDigest digest;
    private List<PromptPart> parts;

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
            digest = new RequestDigest(head(), RequestDigest.hashBody(body.nioBuffers(), facts.accountName()));
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

    /** Returns the prompt parts that the request may share with others. */
    List<PromptPart> parts() {
        if (parts == null) {
            parts = facts.sharedPromptParts();
        }
        return parts;
    }

    /** Returns whether this run has the given request or prompt part. */
    boolean matches(RequestTrait trait) {
        if (trait instanceof RequestDigest request) {
            return body != null && request.head() == head() && request.equals(digest());
        }
        return parts().contains(trait);
    }

    /** Decides whether the request may be sent. */
    SuspectDecision decide() {
        if (gate.isIdle()) {
            return SuspectDecision.SEND;
        }
        SuspectDecision shared = gate.decideShared(parts());
        return gate.mayContain(head()) ? shared.stricter(gate.decide(digest())) : shared;
    }

    /** Returns whether the request may be sent again at once when its attempt is given up, which ends its own trial. */
    boolean maySendAgain() {
        return !inTrial.isEmpty() || decide().sends();
    }

    /** Starts a trial if the decision requires one for this attempt. */
    void sent(SuspectDecision decision, UpstreamId upstream, long limitMillis) {
        if (decision.action() == SuspectDecision.Action.TRY) {
            trialStarted(upstream, limitMillis);
        }
    }

    /** Records that the request is at an upstream, so that no other is sent with a trait that is suspected. */
    void trialStarted(UpstreamId upstream, long limitMillis) {
        for (RequestTrait trait : suspectedTraits()) {
            if (inTrial.add(trait)) {
                gate.trialStarted(trait, upstream, limitMillis);
            }
        }
    }

    /** Returns the request and those of its prompt parts against which crashes count. */
    private List<RequestTrait> suspectedTraits() {
        List<RequestTrait> suspected = new ArrayList<>();
        if (gate.mayContain(head()) && gate.isSuspected(digest())) {
            suspected.add(digest());
        }
        parts().stream().filter(gate::isSuspected).forEach(suspected::add);
        return suspected;
    }

    /** Returns why the request is refused by now, or {@code null} if it is not. */
    RefusalCause refusal() {
        if (gate.refusedTrait(parts()) != null) {
            return RefusalCause.PART_ENDS_UPSTREAMS;
        }
        return gate.mayContain(head()) && gate.isRefused(digest()) ? RefusalCause.ENDS_UPSTREAMS : null;
    }

    /** Returns whether the request became suspected after it was sent, so that identical ones may be in flight too. */
    boolean isSentBeforeSuspected() {
        return !inTrial.contains(digest()) && gate.isSuspected(digest());
    }

    /** Returns what a refusal or a wait for this cause is about, or {@code null} if that is no suspicion. */
    RequestTrait suspectedTrait(RefusalCause cause) {
        return switch (cause) {
            case PART_ENDS_UPSTREAMS -> gate.refusedTrait(parts());
            case ENDS_UPSTREAMS -> digest();
            case REPEAT_IN_TRIAL -> suspectedTraits().stream().findFirst().orElseGet(this::digest);
            default -> null;
        };
    }

    /** Records that no upstream has the request any more. */
    void attemptEnded() {
        inTrial.forEach(gate::trialEnded);
        inTrial.clear();
    }

    /**
     * Records that an upstream responded to the request and did not crash.
     *
     * @param complete whether the upstream certainly ran the request to its end, which clears its prompt parts too
     */
    void answered(boolean complete) {
        if (!gate.isIdle() && gate.mayContain(head())) {
            gate.served(digest());
        }
        if (complete) {
            gate.served(parts());
        }
    }
}
