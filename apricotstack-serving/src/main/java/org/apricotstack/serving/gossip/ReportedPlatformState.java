package org.apricotstack.serving.gossip;

/** The platform state that a platform reader reported last to the routers of its data centre. */
final class ReportedPlatformState {

    private long configurationVersion;
    private long upstreamsRevision;
    private int upstreamsListed;

    /** Records the current state; returns whether any part of it differs from the last report. */
    boolean update(long configuration, long upstreams, int listed) {
        boolean changed =
                configuration != configurationVersion || upstreams != upstreamsRevision || listed != upstreamsListed;
        configurationVersion = configuration;
        upstreamsRevision = upstreams;
        upstreamsListed = listed;
        return changed;
    }
}
