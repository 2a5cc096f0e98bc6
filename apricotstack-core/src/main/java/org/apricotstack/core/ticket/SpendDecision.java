package org.apricotstack.core.ticket;

import org.apricotstack.core.failure.Refusal;

/** The decision about a request with a ticket. */
public sealed interface SpendDecision {

    /**
     * The request may run; its end must be recorded in the ledger.
     *
     * @param serial the serial number of the ticket
     */
    record Run(long serial) implements SpendDecision {}

    /**
     * The request has already run; its recorded answer is returned.
     *
     * @param answer the answer
     */
    record Replay(RecordedAnswer answer) implements SpendDecision {}

    /**
     * The request must not run.
     *
     * @param refusal why
     */
    record Refuse(Refusal refusal) implements SpendDecision {}
}
