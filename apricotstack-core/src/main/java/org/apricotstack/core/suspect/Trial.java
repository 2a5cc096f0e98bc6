package org.apricotstack.core.suspect;

import org.apricotstack.core.id.UpstreamId;

/**
 * A trial of a suspected request: an attempt that runs alone in the fleet and may still crash its upstream.
 *
 * @param upstream the upstream that runs it
 * @param endMillis time at which it times out
 */
record Trial(UpstreamId upstream, long endMillis) {}
