package org.apricotstack.core.dispatch;

import java.util.List;

import org.apricotstack.core.configuration.Upstream;

/**
 * An attempt that starts now.
 *
 * @param queued the attempt
 * @param upstreams the upstreams that run it together; the first one is the lead
 */
public record Assignment(QueuedAttempt queued, List<Upstream> upstreams) {}
