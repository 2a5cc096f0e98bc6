package org.apricotstack.serving.news;

/** What a reader of the platform told the routers of its data centre last. */
final class ToldReadings {

    private long configurationRevision;
    private long upstreamsRevision;
    private int upstreamsListed;

    /** Notes what is known now; tells whether it differs in any part from what was told. */
    boolean update(long configuration, long upstreams, int listed) {
        boolean changed =
                configuration != configurationRevision || upstreams != upstreamsRevision || listed != upstreamsListed;
        configurationRevision = configuration;
        upstreamsRevision = upstreams;
        upstreamsListed = listed;
        return changed;
    }
}
