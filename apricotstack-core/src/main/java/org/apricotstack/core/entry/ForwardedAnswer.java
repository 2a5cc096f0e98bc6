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

/** Checks the answer from the issuer of a ticket in the same way as the answers of owners. */
public final class ForwardedAnswer {

    private final StreamGuard guard;

    /** Creates the check for the answer to one request. */
    ForwardedAnswer(RequestId request) {
        this.guard = new StreamGuard(attempt(request), 0);
    }

    /**
     * Returns the attempt id that the events of a forwarded request carry.
     *
     * @param request the request
     * @return attempt 0, which is never dispatched to an owner
     */
    public static AttemptId attempt(RequestId request) {
        return new AttemptId(request, 0);
    }

    /** Converts an event to a signal for the caller, or to an error with the refusal that it carries or causes. */
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
