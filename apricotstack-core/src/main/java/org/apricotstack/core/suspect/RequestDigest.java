package org.apricotstack.core.suspect;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import org.apricotstack.core.id.AccountName;

/**
 * Identifies a request across its repeats, which have different ids and may arrive at different routers.
 *
 * <p>Two requests are equal if method, host name, target, client account and body are equal. The hashes are keyed by
 * the account, so that nobody can forge a request with the digest of another account's request. With 128 bits
 * collisions between requests of one account are negligible. A digest reveals neither body nor account.
 *
 * @param head hash of everything but the bytes of the body, including the length of the body; cheap to compute and
 *     sufficient to rule out most requests
 * @param body hash of the bytes of the body
 */
public record RequestDigest(long head, long body) implements RequestTrait {

    /** Derives 128-bit keys from account names, which are not secret. */
    private static final HashFunction KEY_FUNCTION = Hashing.murmur3_128(0xacc7);

    private static final int HEXADECIMAL_DIGITS = 16;

    /**
     * Hashes everything that precedes the body.
     *
     * @param method the HTTP method
     * @param host host name of the request
     * @param target path and query
     * @param account the client account, or {@code null} if the request needs none
     * @param bodyBytes length of the body, in bytes
     * @return the hash
     */
    public static long hashHead(String method, String host, String target, AccountName account, long bodyBytes) {
        Hasher hasher = hashFunctionOf(account).newHasher();
        for (String part : List.of(method, host, target)) {
            hasher.putInt(part.length()).putUnencodedChars(part);
        }
        return hasher.putLong(bodyBytes).hash().asLong();
    }

    /**
     * Hashes a body.
     *
     * @param pieces the buffers of the body, which are consumed
     * @param account the client account, or {@code null} if the request needs none
     * @return the hash
     */
    public static long hashBody(ByteBuffer[] pieces, AccountName account) {
        Hasher hasher = hashFunctionOf(account).newHasher();
        for (ByteBuffer piece : pieces) {
            hasher.putBytes(piece);
        }
        return hasher.hash().asLong();
    }

    /** Returns the hash function keyed by an account. */
    private static HashFunction hashFunctionOf(AccountName account) {
        HashCode key = KEY_FUNCTION.hashString(account == null ? "" : account.value(), StandardCharsets.UTF_8);
        ByteBuffer keyBytes = ByteBuffer.wrap(key.asBytes());
        return Hashing.sipHash24(keyBytes.getLong(), keyBytes.getLong());
    }

    /** Formats both hashes in hexadecimal, as used in logs. */
    @Override
    public String toString() {
        return hexadecimal(head) + hexadecimal(body);
    }

    /** Formats a hash with leading zeros. */
    private static String hexadecimal(long hash) {
        String hexadecimal = Long.toHexString(hash);
        return "0".repeat(HEXADECIMAL_DIGITS - hexadecimal.length()) + hexadecimal;
    }
}
