package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.ratelimit.StatedLimit;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.AnswerHead;

/** Reads in answers which limits upstreams name, and writes down each change. */
final class LimitGate {

    private final RunContext context;
    private final Set<UpstreamId> unreadable = new HashSet<>();

    /** Creates a gate. */
    LimitGate(RunContext context) {
        this.context = context;
    }

    /**
     * Takes in what an answer says.
     *
     * @param upstream the upstream that was meant
     * @param answer the beginning of the answer
     * @param sentMillis when the request was sent, or before
     * @param requestId the request
     */
    void answered(UpstreamEntry upstream, AnswerHead answer, long sentMillis, String requestId) {
        if (answer.otherInstance()) {
            return;
        }
        UpstreamId id = upstream.id();
        RateLimit before = context.limits().find(id);
        LimitChange change = context.limits().answered(id, answer.statedLimit(), sentMillis, context.nowMillis());
        if (answer.statedLimit().kind() == StatedLimit.Kind.UNREADABLE) {
            noteUnreadable(id, requestId);
        } else if (!unreadable.isEmpty()) {
            unreadable.remove(id);
        }
        if (change != LimitChange.NONE) {
            context.metrics().limitChanged(change);
            RateLimit limit =
                    change == LimitChange.ENDED ? before : context.limits().find(id);
            context.log()
                    .request("limit_" + change.code(), requestId)
                    .put("upstream", id.value())
                    .put("incarnation", id.incarnation())
                    .put("per_second", Double.toString(limit.perSecond()))
                    .put("source", "answer")
                    .write();
        }
    }

    /** Counts a value that is no limit, and writes the first one of an upstream down. */
    private void noteUnreadable(UpstreamId upstream, String requestId) {
        context.metrics().limitUnreadable();
        if (unreadable.add(upstream)) {
            context.log()
                    .request("limit_unreadable", requestId)
                    .put("upstream", upstream.value())
                    .write();
        }
    }

    /** Forgets an upstream that is over. */
    void forget(UpstreamId upstream) {
        unreadable.remove(upstream);
        context.limits().forget(upstream);
    }
}
