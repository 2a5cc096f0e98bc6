package org.apricotstack.core.suspect;

/**
 * The end of an upstream while a request was in flight there.
 *
 * @param begun whether the upstream had sent some of the answer, so that it had run the request for a while and lived
 * @param atMillis when it ended, as far as is known here
 * @param learnedMillis when this router heard of it
 */
record Crash(boolean answerStarted, long atMillis, long learnedMillis) {}
