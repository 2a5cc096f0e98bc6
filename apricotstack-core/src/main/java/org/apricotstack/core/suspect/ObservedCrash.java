package org.apricotstack.core.suspect;

import org.apricotstack.core.id.UpstreamId;

/**
 * The end of an upstream, as the router saw it that had a request in flight there.
 *
 * @param upstream the start that ended
 * @param answerStarted whether some of the answer had come from it
 * @param atMillis when it ended
 */
public record ObservedCrash(UpstreamId upstream, boolean answerStarted, long atMillis) {}
