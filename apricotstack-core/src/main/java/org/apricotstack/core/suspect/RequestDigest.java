package org.apricotstack.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.apricotstack.core.id.ClientAccountId;

/**
 * Tells a request apart over its repeats, each of which has another id and may come to another router.
 *
 * <p>Two requests are the same if method, host name, target, client account and body are. The hashes are keyed by the
 * account, so that nobody can make a request that is taken for one of another account; with 128 bits two requests of
 * one account are not taken for each other by chance. Neither body nor account can be read from a digest.
 *
 * @param head hash of everything but the bytes of the body, whose length it covers; cheap, and sorts out most requests
 * @param body hash of the bytes of the body
 */
public record RequestDigest(long head, long body) {

    /** Makes keys of 128 bits from accounts, whose names are no secret. */
    private static final HashFunction KEY_FUNCTION = Hashing.murmur3_128(0xacc7);

    private static final int HEXADECIMAL_DIGITS = 16;

    /**
     * Hashes what stands before the body.
     *
     * @param method the method
     * @param host host name of the request
     * @param target path and query
     * @param account the client account, or {@code null} if the request needs none
     * @param bodyBytes length of the body, in bytes
     * @return the hash
     */
    public static long hashHead(String method, String host, String target, ClientAccountId account, long bodyBytes) {
        Hasher hasher = hashFunctionOf(account).newHasher();
        for (String part : List.of(method, host, target)) {
            hasher.putInt(part.length()).putUnencodedChars(part);
        }
        return hasher.putLong(bodyBytes).hash().asLong();
    }

    /**
     * Hashes a body.
     *
     * @param pieces the body in pieces, whose positions move to their ends
     * @param account the client account, or {@code null} if the request needs none
     * @return the hash
     */
    public static long hashBody(ByteBuffer[] pieces, ClientAccountId account) {
        Hasher hasher = hashFunctionOf(account).newHasher();
        for (ByteBuffer piece : pieces) {
            hasher.putBytes(piece);
        }
        return hasher.hash().asLong();
    }

    /** Returns the hash function of an account. */
    private static HashFunction hashFunctionOf(ClientAccountId account) {
        HashCode key = KEY_FUNCTION.hashString(account == null ? "" : account.value(), StandardCharsets.UTF_8);
        ByteBuffer keyBytes = ByteBuffer.wrap(key.asBytes());
        return Hashing.sipHash24(keyBytes.getLong(), keyBytes.getLong());
    }

    /** Writes both hashes in hexadecimal, as logs show them. */
    @Override
    public String toString() {
        return hexadecimal(head) + hexadecimal(body);
    }

    /** Writes a hash with leading zeros. */
    private static String hexadecimal(long hash) {
        String hexadecimal = Long.toHexString(hash);
        return "0".repeat(HEXADECIMAL_DIGITS - hexadecimal.length()) + hexadecimal;
    }
}
