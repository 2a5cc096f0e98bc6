package org.apricotstack.serving.gossip;

import java.util.List;

import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.suspect.SuspectedTrait;
import org.apricotstack.serving.run.CrashReport;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

/** Converts suspected requests and prompt parts between wire messages and the types of the core. */
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

    /** Encodes a prompt part. */
    static org.apricotstack.wire.news.PromptPart part(PromptPart part) {
        return org.apricotstack.wire.news.PromptPart.newBuilder()
                .setService(part.service().value())
                .setId(part.id().value())
                .build();
    }

    /** Decodes a prompt part. */
    static PromptPart part(org.apricotstack.wire.news.PromptPart part) {
        return part(part.getService(), part.getId());
    }

    /** Decodes a prompt part. */
    private static PromptPart part(String service, long id) {
        return new PromptPart(new ServiceId(service), new PromptPartId(id));
    }

    /** Encodes a crash of an upstream that happened now, with some of the parts in flight. */
    static UpstreamEnded ended(CrashReport crash, List<PromptPart> parts) {
        UpstreamEnded.Builder ended = UpstreamEnded.newBuilder()
                .setUpstream(crash.upstream().value())
                .setIncarnation(crash.upstream().incarnation());
        crash.requests().forEach(request -> ended.addRequests(hashes(request)));
        crash.answerStarted().forEach(request -> ended.addBegun(hashes(request)));
        parts.forEach(part -> addPart(ended, part));
        return ended.build();
    }

    /** Adds a part to a crash; all parts of a crash are of one service. */
    private static void addPart(UpstreamEnded.Builder ended, PromptPart part) {
        ended.setService(part.service().value()).addParts(part.id().value());
    }

    /** Decodes the parts that were in flight at a crash. */
    static List<PromptPart> parts(UpstreamEnded ended) {
        return ended.getPartsList().stream()
                .map(id -> part(ended.getService(), id))
                .toList();
    }

    /** Encodes a crash of an upstream under one request or part that happened some time ago. */
    static UpstreamEnded ended(RequestTrait trait, SuspectedTrait.ReportedCrash crash) {
        UpstreamEnded.Builder ended = UpstreamEnded.newBuilder()
                .setUpstream(crash.upstream().value())
                .setIncarnation(crash.upstream().incarnation())
                .setAgoMillis(crash.ageMillis());
        if (trait instanceof PromptPart part) {
            addPart(ended, part);
        } else if (trait instanceof RequestDigest request && crash.answerStarted()) {
            ended.addBegun(hashes(request));
        } else if (trait instanceof RequestDigest request) {
            ended.addRequests(hashes(request));
        }
        return ended.build();
    }

    /** Decodes which upstream crashed. */
    static UpstreamId upstream(UpstreamEnded ended) {
        return new UpstreamId(ended.getUpstream(), ended.getIncarnation());
    }

    /** Encodes the trial of a suspected request or part. */
    static Trial trial(RequestTrait trait, UpstreamId upstream, long limitMillis) {
        Trial.Builder trial = Trial.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setLimitMillis(limitMillis);
        if (trait instanceof PromptPart part) {
            trial.setPart(part(part));
        } else if (trait instanceof RequestDigest request) {
            trial.setRequest(hashes(request));
        }
        return trial.build();
    }

    /** Decodes what is tried. */
    static RequestTrait trait(Trial trial) {
        return trial.hasPart() ? part(trial.getPart()) : digest(trial.getRequest());
    }

    /** Decodes the upstream of a trial. */
    static UpstreamId upstream(Trial trial) {
        return new UpstreamId(trial.getUpstream(), trial.getIncarnation());
    }
}
