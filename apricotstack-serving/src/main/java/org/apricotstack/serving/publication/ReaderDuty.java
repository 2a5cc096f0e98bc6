package org.apricotstack.serving.publication;

/** What this router has to do at the platform, as the routers of the fleet share it. */
public interface ReaderDuty {

    /**
     * Returns the approximate number of routers that follow the platform at the same time.
     *
     * @return all of a small fleet, one of each data centre of a large one
     */
    int platformReaders();

    /**
     * Returns whether this router has to follow the platform itself.
     *
     * @return whether the fleet is small, or no other router of this data centre does so for it
     */
    boolean mustReadPlatform();

    /**
     * Returns at which age of its knowledge this router checks the platform.
     *
     * @return the age, in milliseconds; {@link Long#MAX_VALUE} if other routers do
     */
    long checkAgeMillis();

    /** Announces to the routers that would check next that this router has just verified its knowledge. */
    void announceVerified();
}
