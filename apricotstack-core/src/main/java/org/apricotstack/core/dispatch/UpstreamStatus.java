package org.apricotstack.core.dispatch;

import org.apricotstack.core.id.UpstreamId;

/**
 * The status of one upstream at its owner, for operators.
 *
 * @param upstream the upstream
 * @param streams attempts that it runs for this owner
 * @param heldTokens memory that they use, in tokens
 * @param leaving whether it gets no new work because it is leaving
 * @param ejected whether it is ejected after failures
 */
public record UpstreamStatus(UpstreamId upstream, int streams, long heldTokens, boolean leaving, boolean ejected) {}
