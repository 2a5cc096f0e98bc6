package org.apricotstack.core.id;

import com.google.common.hash.Hashing;

/**
 * Identifies one part of a prompt, which other prompts may share.
 *
 * @param value the 64 bits of the id
 */
public record PromptPartId(long value) {

    private static final int HEXADECIMAL_RADIX = 16;
    private static final int HEXADECIMAL_DIGITS = 16;

    /**
     * Parses an id that callers send.
     *
     * @param text the id in hexadecimal; a text of any other form is an id too
     * @return the id
     */
    public static PromptPartId of(String text) {
        if (!text.isEmpty() && text.length() <= HEXADECIMAL_DIGITS && isHexadecimal(text)) {
            return new PromptPartId(Long.parseUnsignedLong(text, HEXADECIMAL_RADIX));
        }
        return new PromptPartId(Hashing.sipHash24().hashUnencodedChars(text).asLong());
    }

    /** Returns whether a text has hexadecimal digits only. */
    private static boolean isHexadecimal(String text) {
        return text.chars().allMatch(digit -> Character.digit(digit, HEXADECIMAL_RADIX) >= 0);
    }

    /** Formats the id in hexadecimal, as callers send it. */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
