package org.apricotstack.core.id;

/**
 * Identifies one incarnation of an upstream: of a model engine, or of a replica of a plain service.
 *
 * <p>A restarted upstream may keep its name, but it has none of its previous state. State that is stored by this id,
 * such as placements, reservations and failures, therefore belongs to one incarnation and does not apply to the next.
 *
 * @param value the name: 1 to 200 letters, digits, dots, hyphens, underscores or colons
 * @param incarnation distinguishes the incarnations of one name and increases with each restart; {@link
 *     #ANY_INCARNATION} if unknown
 */
public record UpstreamId(String value, long incarnation) implements Comparable<UpstreamId> {

    /** Incarnation of an upstream that does not report when it started, and of an id that covers all incarnations. */
    public static final long ANY_INCARNATION = 0;

    /** Checks the name. */
    public UpstreamId {
        Names.require("upstream", value, Names.MAX_KEY_BYTES);
    }

    /**
     * Tells whether a text is a valid name.
     *
     * @param value the text, possibly {@code null}
     * @return whether an upstream may have this name
     */
    public static boolean isValid(String value) {
        return Names.isValid(value, Names.MAX_KEY_BYTES);
    }

    /**
     * Creates the id of an upstream of which only the name is known.
     *
     * @param value the name
     */
    public UpstreamId(String value) {
        this(value, ANY_INCARNATION);
    }

    /**
     * Returns the id without the incarnation, the key of the published documents of an upstream.
     *
     * @return the id that covers all incarnations
     */
    public UpstreamId withoutIncarnation() {
        return incarnation == ANY_INCARNATION ? this : new UpstreamId(value);
    }

    /**
     * Tells whether this is a later incarnation of the same upstream.
     *
     * @param other the other id
     * @return whether the other incarnation has ended; {@code false} if its incarnation is not known
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
