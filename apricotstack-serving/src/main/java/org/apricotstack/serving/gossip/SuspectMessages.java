package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

/** Converts suspected requests between wire messages and the types of the core. */
final class SuspectMessages {

    private SuspectMessages() {}

    /** Encodes the hashes that identify a request. */
    static RequestHashes hashes(RequestDigest request) {
        return RequestHashes.newBuilder()
                .setHead(request.head())
                .setBody(request.body())
                .build();
    }

    /** Decodes the hashes that identify a request. */
    static RequestDigest digest(RequestHashes hashes) {
        return new RequestDigest(hashes.getHead(), hashes.getBody());
    }

    /** Encodes a crash of an upstream that happened now. */
    static UpstreamEnded ended(UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> answerStarted) {
        UpstreamEnded.Builder ended =
                UpstreamEnded.newBuilder().setUpstream(upstream.value()).setIncarnation(upstream.incarnation());
        requests.forEach(request -> ended.addRequests(hashes(request)));
        answerStarted.forEach(request -> ended.addBegun(hashes(request)));
        return ended.build();
    }

    /** Encodes a crash of an upstream under one request that happened some time ago. */
    static UpstreamEnded ended(RequestDigest request, SuspectedRequest.ReportedCrash crash) {
        UpstreamEnded.Builder ended = UpstreamEnded.newBuilder()
                .setUpstream(crash.upstream().value())
                .setIncarnation(crash.upstream().incarnation())
                .setAgoMillis(crash.ageMillis());
        return (crash.answerStarted() ? ended.addBegun(hashes(request)) : ended.addRequests(hashes(request))).build();
    }

    /** Decodes which upstream crashed. */
    static UpstreamId upstream(UpstreamEnded ended) {
        return new UpstreamId(ended.getUpstream(), ended.getIncarnation());
    }

    /** Encodes the trial of a suspected request. */
    static Trial trial(RequestDigest request, UpstreamId upstream, long limitMillis) {
        return Trial.newBuilder()
                .setRequest(hashes(request))
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setLimitMillis(limitMillis)
                .build();
    }

    /** Decodes the upstream of a trial. */
    static UpstreamId upstream(Trial trial) {
        return new UpstreamId(trial.getUpstream(), trial.getIncarnation());
    }
}
