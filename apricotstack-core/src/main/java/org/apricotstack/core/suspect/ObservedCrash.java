package org.apricotstack.core.suspect;

import org.apricotstack.core.id.UpstreamId;

/**
 * A crash of an upstream, observed by a router that had a request in flight there.
 *
 * @param upstream the incarnation that crashed
 * @param answerStarted whether part of the answer had arrived from it
 * @param atMillis time of the crash
 */
public record ObservedCrash(UpstreamId upstream, boolean answerStarted, long atMillis) {}
