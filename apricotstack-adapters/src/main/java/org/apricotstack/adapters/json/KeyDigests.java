package org.apricotstack.adapters.json;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import com.google.common.hash.Hashing;

/** Digests of secret keys. The keys themselves are neither published nor logged. */
public final class KeyDigests {

    private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

    private KeyDigests() {}

    /**
     * Computes the digest of a key.
     *
     * @param key the key
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String of(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /**
     * Checks that a text has the form of a digest.
     *
     * @param text the text
     * @return the text
     * @throws IllegalArgumentException if it is not a digest
     */
    public static String require(String text) {
        if (text == null || !FORM.matcher(text).matches()) {
            throw new IllegalArgumentException("not a SHA-256 digest");
        }
        return text;
    }
}
