package org.apricotstack.bench.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * The expected answer to a prompt, which all stand-in engines derive from the prompt only. A client
 * can therefore detect truncated, mixed-up and duplicated answers.
 */
public final class AnswerText {

    private AnswerText() {}

    /**
     * Computes the digest that determines the answer.
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
     * @param index the index of the token
     * @return its text
     */
    public static String token(long digest, long index) {
        long mixed = (digest + index * 0x9E3779B97F4A7C15L) >>> 40;
        return Long.toHexString(mixed) + " ";
    }

    /**
     * Returns the complete answer.
     *
     * @param prompt the prompt
     * @param tokens its length
     * @return its text
     */
    public static String complete(String prompt, long tokens) {
        long digest = digest(prompt.getBytes(StandardCharsets.UTF_8));
        StringBuilder text = new StringBuilder();
        for (long i = 0; i < tokens; i++) {
            text.append(token(digest, i));
        }
        return text.toString();
    }
}
