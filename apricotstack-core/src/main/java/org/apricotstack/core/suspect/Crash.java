package org.apricotstack.core.suspect;

/**
 * A crash of an upstream while a request was in flight there.
 *
 * @param answerStarted whether the upstream had sent part of the answer, so that it had run the request for some time
 *     without crashing
 * @param atMillis time of the crash, as known to this router
 * @param learnedMillis time at which this router learned of it
 */
record Crash(boolean answerStarted, long atMillis, long learnedMillis) {}
