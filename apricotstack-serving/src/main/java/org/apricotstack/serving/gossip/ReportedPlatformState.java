package org.apricotstack.serving.gossip;

/** What a reader of the platform told the routers of its data centre last. */
final class ReportedPlatformState {

    private long configurationVersion;
    private long upstreamsRevision;
    private int upstreamsListed;

    /** Notes what is known now; tells whether it differs in any part from what was told. */
    boolean update(long configuration, long upstreams, int listed) {
        boolean changed =
                configuration != configurationVersion || upstreams != upstreamsRevision || listed != upstreamsListed;
        configurationVersion = configuration;
        upstreamsRevision = upstreams;
        upstreamsListed = listed;
        return changed;
    }
}
