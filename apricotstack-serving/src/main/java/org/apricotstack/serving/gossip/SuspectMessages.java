package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

/** Translates between what routers tell each other of suspected requests and the types of the core. */
final class SuspectMessages {

    private SuspectMessages() {}

    /** Writes what tells a request apart. */
    static RequestHashes hashes(RequestDigest request) {
        return RequestHashes.newBuilder()
                .setHead(request.head())
                .setBody(request.body())
                .build();
    }

    /** Reads what tells a request apart. */
    static RequestDigest digest(RequestHashes hashes) {
        return new RequestDigest(hashes.getHead(), hashes.getBody());
    }

    /** Writes the end of an upstream that happened now. */
    static UpstreamEnded ended(UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> begun) {
        UpstreamEnded.Builder ended =
                UpstreamEnded.newBuilder().setUpstream(upstream.value()).setIncarnation(upstream.incarnation());
        requests.forEach(request -> ended.addRequests(hashes(request)));
        begun.forEach(request -> ended.addBegun(hashes(request)));
        return ended.build();
    }

    /** Writes the end of an upstream under one request, which happened some time ago. */
    static UpstreamEnded ended(RequestDigest request, SuspectedRequest.ReportedCrash told) {
        UpstreamEnded.Builder ended = UpstreamEnded.newBuilder()
                .setUpstream(told.upstream().value())
                .setIncarnation(told.upstream().incarnation())
                .setAgoMillis(told.ageMillis());
        return (told.answerStarted() ? ended.addBegun(hashes(request)) : ended.addRequests(hashes(request))).build();
    }

    /** Reads which upstream ended. */
    static UpstreamId upstream(UpstreamEnded ended) {
        return new UpstreamId(ended.getUpstream(), ended.getIncarnation());
    }

    /** Writes the send of a suspected request. */
    static Trial trial(RequestDigest request, UpstreamId upstream, long limitMillis) {
        return Trial.newBuilder()
                .setRequest(hashes(request))
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setLimitMillis(limitMillis)
                .build();
    }

    /** Reads to which upstream a suspected request is sent. */
    static UpstreamId upstream(Trial trial) {
        return new UpstreamId(trial.getUpstream(), trial.getIncarnation());
    }
}
