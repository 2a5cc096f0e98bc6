package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * The upstreams chosen for one send.
 *
 * @param upstream the upstream that answers
 * @param helpers engines that help to read the prompt, in the order of the placement
 * @param placement the placement on engines, or {@code null} for a plain service
 * @param predictedMillis predicted time to the first event, in milliseconds; 0 for a plain service
 * @param reserves whether memory must be reserved first
 * @param expensive whether others would lose more by it now than the answer is worth, so that it should wait
 * @param refused whether others would lose so much that it is refused if it can wait no longer
 */
record UpstreamChoice(
        UpstreamEntry upstream,
        List<UpstreamEntry> helpers,
        EnginePlacement placement,
        double predictedMillis,
        boolean reserves,
        boolean expensive,
        boolean refused) {}
