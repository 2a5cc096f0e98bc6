package org.apricotstack.core.dispatch;

import org.apricotstack.core.id.UpstreamId;

/**
 * What operators see of one upstream at its owner.
 *
 * @param upstream the upstream
 * @param streams attempts that it runs for this owner
 * @param heldTokens memory that they take, in tokens
 * @param leaving whether it gets no new work as it leaves
 * @param ejected whether it is out of use after failures
 */
public record UpstreamStatus(UpstreamId upstream, int streams, long heldTokens, boolean leaving, boolean ejected) {}
