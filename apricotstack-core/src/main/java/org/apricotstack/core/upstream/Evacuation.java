package org.apricotstack.core.upstream;

import org.apricotstack.core.id.DataCentreId;

/**
 * The operators' request to send no new requests to the upstreams of a data centre.
 *
 * @param dataCentre the data centre
 * @param revision the platform's revision of the request, see {@link Revisions}
 * @param heldUntilMillis time until which it stays in force although the platform lost it; {@link #LISTED} while the
 *     platform lists it
 */
public record Evacuation(DataCentreId dataCentre, long revision, long heldUntilMillis) {

    /** Value of {@link #heldUntilMillis} of an evacuation that the platform lists. */
    public static final long LISTED = Long.MAX_VALUE;

    /**
     * Creates an evacuation that the platform lists.
     *
     * @param dataCentre the data centre
     * @param revision the platform's revision of the request
     * @return the evacuation
     */
    public static Evacuation listed(DataCentreId dataCentre, long revision) {
        return new Evacuation(dataCentre, revision, LISTED);
    }

    /**
     * Tells whether the platform lists the evacuation.
     *
     * @return {@code false} if it was lost when the platform was restored from a backup
     */
    public boolean isListed() {
        return heldUntilMillis == LISTED;
    }
}
