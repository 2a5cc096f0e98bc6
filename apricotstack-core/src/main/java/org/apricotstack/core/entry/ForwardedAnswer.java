package org.apricotstack.core.entry;

import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.RequestId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.stream.StreamGuard;
import org.apricotstack.core.stream.StreamVerdict;
import reactor.core.publisher.Flux;

/** Checks the answer that the issuer of a ticket sends back, as any other answer from another process. */
public final class ForwardedAnswer {

    private final StreamGuard guard;

    /** Creates the check of one request's answer. */
    ForwardedAnswer(RequestId request) {
        this.guard = new StreamGuard(attempt(request), 0);
    }

    /**
     * Names the attempt under which the answer to a forwarded request travels.
     *
     * @param request the request
     * @return attempt 0, which no owner is ever given
     */
    public static AttemptId attempt(RequestId request) {
        return new AttemptId(request, 0);
    }

    /** Turns an event into a signal for the caller, or into the refusal that it carries or that it deserves. */
    Flux<AttemptSignal> check(AttemptEvent event) {
        StreamVerdict verdict = guard.check(event);
        if (verdict == StreamVerdict.REPEATED || verdict == StreamVerdict.LATE) {
            return Flux.empty();
        }
        if (verdict != StreamVerdict.PASS) {
            boolean crossed = verdict == StreamVerdict.CROSSED;
            RefusalReason reason = crossed ? RefusalReason.ANSWER_CROSSED : RefusalReason.ANSWER_CUT;
            return Flux.error(Refusal.unknown(reason).toException());
        }
        if (event.signal() instanceof AttemptSignal.Refused refused) {
            return Flux.error(refused.refusal().toException());
        }
        return Flux.just(event.signal());
    }
}
