package org.apricotstack.core.ticket;

import java.util.List;

import org.apricotstack.core.stream.AttemptSignal;

/**
 * The whole answer of a request that was run with a ticket, kept so that a caller who repeats the request gets the
 * same answer and no second run.
 *
 * @param signals what the caller was sent, in order, ending with the explicit end
 * @param bytes memory that they take
 */
public record RecordedAnswer(List<AttemptSignal> signals, long bytes) {}
