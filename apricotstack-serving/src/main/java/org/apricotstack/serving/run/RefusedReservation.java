package org.apricotstack.serving.run;

import org.apricotstack.core.engine.ReservationResult;
import org.apricotstack.core.id.UpstreamId;

/**
 * A helper that did not reserve the memory that a prompt needs there.
 *
 * @param helper the helper
 * @param tokens the memory that was requested, in tokens
 * @param expectedFreeTokens memory that was free without this request, as far as this router knew, in tokens
 * @param result the answer
 */
record RefusedReservation(UpstreamId helper, long tokens, long expectedFreeTokens, ReservationResult result) {}
