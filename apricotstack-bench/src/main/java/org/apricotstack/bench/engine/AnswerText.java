package org.apricotstack.bench.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * The true answer to a prompt, as all stand-in engines give it: a function of the prompt alone, so that a client
 * can tell a whole and true answer from one that was cut, crossed or doubled.
 */
public final class AnswerText {

    private AnswerText() {}

    /**
     * Computes the digest from which the answer follows.
     *
     * @param prompt the prompt as UTF-8
     * @return the digest
     */
    public static long digest(byte[] prompt) {
        return Hashing.farmHashFingerprint64().hashBytes(prompt).asLong();
    }

    /**
     * Returns one token of the answer.
     *
     * @param digest the digest of the prompt
     * @param index the place of the token
     * @return its text
     */
    public static String token(long digest, long index) {
        long mixed = (digest + index * 0x9E3779B97F4A7C15L) >>> 40;
        return Long.toHexString(mixed) + " ";
    }

    /**
     * Returns a whole answer.
     *
     * @param prompt the prompt
     * @param tokens its length
     * @return its text
     */
    public static String whole(String prompt, long tokens) {
        long digest = digest(prompt.getBytes(StandardCharsets.UTF_8));
        StringBuilder text = new StringBuilder();
        for (long i = 0; i < tokens; i++) {
            text.append(token(digest, i));
        }
        return text.toString();
    }
}
