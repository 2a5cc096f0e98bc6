package org.apricotstack.serving;

import java.util.Arrays;
import java.util.Random;

import com.google.common.primitives.Bytes;

/** Random bytes, and valid messages with random changes. */
public final class ForeignBytes {

    private static final int MAX_RANDOM_BYTES = 300;
    private static final int MAX_CHANGES = 4;
    private static final int MAX_REPEATS = 40;

    /** Lengths that are negative, or that no buffer has. */
    private static final byte[][] LENGTHS = {
        {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
        {0x00, 0x3f, (byte) 0xff, (byte) 0xff},
        {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07},
        "99999999999999999999".getBytes(),
        "-1".getBytes(),
        "7fffffff".getBytes()
    };

    private final Random random;

    /**
     * Creates a generator.
     *
     * @param seed the seed of all its decisions
     */
    public ForeignBytes(long seed) {
        random = new Random(seed);
    }

    /**
     * Returns random bytes, or a changed message.
     *
     * @param valid the message
     * @return the bytes
     */
    public byte[] next(byte[] valid) {
        if (random.nextInt(5) == 0) {
            byte[] bytes = new byte[random.nextInt(MAX_RANDOM_BYTES)];
            random.nextBytes(bytes);
            return bytes;
        }
        byte[] changed = valid;
        for (int changes = 1 + random.nextInt(MAX_CHANGES); changes > 0; changes--) {
            changed = change(changed);
        }
        return changed;
    }

    /**
     * Returns a number of bytes to receive at once.
     *
     * @param bytes number of bytes left
     * @return at least 1
     */
    public int nextPiece(int bytes) {
        return 1 + random.nextInt(bytes);
    }

    private byte[] change(byte[] bytes) {
        int at = random.nextInt(bytes.length + 1);
        int end = at + random.nextInt(bytes.length - at + 1);
        byte[] before = Arrays.copyOf(bytes, at);
        byte[] part = Arrays.copyOfRange(bytes, at, end);
        byte[] after = Arrays.copyOfRange(bytes, end, bytes.length);
        return switch (random.nextInt(5)) {
            case 0 -> before;
            case 1 -> Bytes.concat(before, part, part, after);
            case 2 -> flip(bytes);
            case 3 -> Bytes.concat(before, LENGTHS[random.nextInt(LENGTHS.length)], after);
            default -> nested(before, part, after);
        };
    }

    private byte[] flip(byte[] bytes) {
        byte[] flipped = bytes.clone();
        if (flipped.length > 0) {
            flipped[random.nextInt(flipped.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
        }
        return flipped;
    }

    /** Repeats the first bytes before, and the last bytes after a part. */
    private byte[] nested(byte[] before, byte[] part, byte[] after) {
        byte[] nested = part;
        for (int depth = random.nextInt(MAX_REPEATS); depth > 0 && nested.length < MAX_RANDOM_BYTES; depth--) {
            nested = Bytes.concat(before, nested, after);
        }
        return nested;
    }
}
