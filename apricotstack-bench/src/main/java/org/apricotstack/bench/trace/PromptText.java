package org.apricotstack.bench.trace;

import java.util.List;

import com.google.common.hash.Hashing;

/** Generates the text of a prompt from the blocks of a trace; equal blocks yield equal text. */
public final class PromptText {

    /** Bytes of text per token; the text is ASCII. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BLOCK_BYTES = TraceRecord.BLOCK_TOKENS * BYTES_PER_TOKEN;

    private PromptText() {}

    /**
     * Generates a prompt.
     *
     * @param hashIds hash ids of its blocks
     * @param tokens its length in tokens
     * @return its text
     */
    public static String of(List<Long> hashIds, long tokens) {
        StringBuilder text = new StringBuilder((int) tokens * BYTES_PER_TOKEN + BLOCK_BYTES);
        for (long hashId : hashIds) {
            String word = Hashing.murmur3_128().hashLong(hashId).toString();
            text.append(word.repeat(BLOCK_BYTES / word.length()));
        }
        text.setLength((int) tokens * BYTES_PER_TOKEN);
        for (int i = 0; i < text.length() && text.charAt(text.length() - 1 - i) == 0; i++) {
            text.setCharAt(text.length() - 1 - i, 'x');
        }
        return text.toString();
    }
}
