package org.apricotstack.core.ticket;

import java.util.List;

import org.apricotstack.core.stream.AttemptSignal;

/**
 * The complete answer of a request that was run with a ticket, stored so that a caller that repeats the request gets
 * the same answer without a second run.
 *
 * @param signals the signals that were sent to the caller, in order, up to the explicit end
 * @param bytes the memory that they occupy
 */
public record RecordedAnswer(List<AttemptSignal> signals, long bytes) {}
