package org.apricotstack.core.id;

/**
 * Names one start of an upstream: of a model engine, or of one replica of a plain service.
 *
 * <p>An upstream that starts again may keep its name, but it holds and knows nothing of before. Whatever is kept by its
 * id, such as placements, reservations and failures, belongs to one start and is not found under the next.
 *
 * @param value the name: 1 to 128 letters, digits, dots, hyphens, underscores or colons
 * @param incarnation tells the starts of one name apart, a later one is greater; {@link #ANY_INCARNATION} if unknown
 */
public record UpstreamId(String value, long incarnation) implements Comparable<UpstreamId> {

    /** Incarnation of an upstream that does not say when it started, and of all starts of a name together. */
    public static final long ANY_INCARNATION = 0;

    /** Checks the name. */
    public UpstreamId {
        Names.require("upstream", value);
    }

    /**
     * Names an upstream of which only the name is known.
     *
     * @param value the name
     */
    public UpstreamId(String value) {
        this(value, ANY_INCARNATION);
    }

    /**
     * Returns the name alone, as the key of what is published of an upstream.
     *
     * @return the id of all its starts
     */
    public UpstreamId withoutIncarnation() {
        return incarnation == ANY_INCARNATION ? this : new UpstreamId(value);
    }

    /**
     * Tells whether this is a later start of the same upstream.
     *
     * @param other the other start
     * @return whether the other one is over; {@code false} if it is not known which start it is
     */
    public boolean isLaterIncarnationOf(UpstreamId other) {
        return other.incarnation != ANY_INCARNATION && value.equals(other.value) && incarnation > other.incarnation;
    }

    @Override
    public int compareTo(UpstreamId other) {
        int byName = value.compareTo(other.value);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof UpstreamId that && incarnation == that.incarnation && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode() ^ Long.hashCode(incarnation);
    }

    @Override
    public String toString() {
        return incarnation == ANY_INCARNATION ? value : value + "@" + incarnation;
    }
}
