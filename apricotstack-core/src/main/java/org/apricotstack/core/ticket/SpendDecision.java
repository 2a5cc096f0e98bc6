package org.apricotstack.core.ticket;

import org.apricotstack.core.failure.Refusal;

/** What may happen with a request that brings a ticket. */
public sealed interface SpendDecision {

    /**
     * The request may run; its end must be told to the ledger.
     *
     * @param serial the ticket's number
     */
    record Run(long serial) implements SpendDecision {}

    /**
     * The request was run; this is its answer.
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
