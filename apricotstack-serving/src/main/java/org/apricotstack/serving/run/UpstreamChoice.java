package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * The upstreams chosen for one attempt.
 *
 * @param upstream the upstream that responds
 * @param helpers engines that prefill parts of the prompt, in the order of the placement
 * @param placement the placement on engines, or {@code null} for a plain service
 * @param predictedMillis predicted time to the first event, in milliseconds; 0 for a plain service
 * @param reserves whether memory must be reserved at the helpers first
 * @param expensive whether the placement would now cost other requests more than this one is worth, so that it should
 * wait
 * @param refused whether the cost to other requests is so high that the request is refused if it can wait no longer
 */
record UpstreamChoice(
        UpstreamEntry upstream,
        List<UpstreamEntry> helpers,
        EnginePlacement placement,
        double predictedMillis,
        boolean reserves,
        boolean expensive,
        boolean refused) {}
