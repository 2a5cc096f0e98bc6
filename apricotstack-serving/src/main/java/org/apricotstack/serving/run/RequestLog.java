package org.apricotstack.serving.run;

import java.util.List;
import java.util.stream.Collectors;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;

/** Writes down and counts what happens to one request, with the figures that decided. */
final class RequestLog {

    private final ServingContext context;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;

    /** Creates the log of a request. */
    RequestLog(ServingContext context, RequestFacts facts, AttemptCount attempts, StreamProgress progress) {
        this.context = context;
        this.facts = facts;
        this.attempts = attempts;
        this.progress = progress;
    }

    /** Begins a line. */
    private DecisionLog.Line line(String event) {
        return context.log().request(event, facts.request().id());
    }

    /** Notes the arrival. */
    void arrived() {
        line("arrived")
                .put("route", facts.route().name())
                .put("service", facts.service().value())
                .put(
                        "account",
                        facts.account() == null ? null : facts.clientAccountId().value())
                .put("configuration", facts.configurationVersion())
                .put("limit_millis", facts.endMillis() - facts.arrivedMillis())
                .put("target_millis", facts.route().targetLatencyMillis())
                .put("pause_target_millis", facts.route().tokenGapTargetMillis())
                .put("prompt_tokens", facts.request().promptTokens())
                .write();
    }

    /** Notes that the request waits, as placing it now would cost others more than it is worth. */
    void waiting(long nowMillis) {
        line("waits")
                .put("left_millis", facts.remainingMillis(nowMillis))
                .put("board", context.loadTable().size())
                .write();
    }

    /** Notes that the request waits, as the same request is suspected and tried elsewhere. */
    void waitingForTrial(RequestDigest digest, long nowMillis) {
        line("held")
                .put("content", digest.toString())
                .put("left_millis", facts.remainingMillis(nowMillis))
                .write();
    }

    /** Notes a send, and which upstreams were passed over for it. */
    void sent(UpstreamChoice choice, SkippedUpstreams skipped, long nowMillis) {
        count(PassedOverCause.LIMIT, skipped.rateLimited());
        count(PassedOverCause.DRAINING, skipped.draining());
        count(PassedOverCause.BACK_OFF, skipped.backingOff());
        line("sent")
                .put("attempt", attempts.sent())
                .put("upstream", choice.upstream().id().value())
                .put("helpers", names(choice.helpers()))
                .put("limits_used_up", names(skipped.rateLimited()))
                .put("draining", names(skipped.draining()))
                .put("back_off", names(skipped.backingOff()))
                .put(
                        "part_millis",
                        choice.placement() == null
                                ? 0
                                : Math.round(choice.placement().lead().prefillMillis()))
                .put("predicted_millis", Math.round(choice.predictedMillis()))
                .put("reserves", choice.reserves())
                .put("left_millis", facts.remainingMillis(nowMillis))
                .put("board", context.loadTable().size())
                .write();
    }

    /** Counts a send for which upstreams were passed over. */
    private void count(PassedOverCause cause, List<UpstreamEntry> upstreams) {
        if (!upstreams.isEmpty()) {
            context.metrics().passedOver(cause);
        }
    }

    /** Notes that a choice is dropped before it was sent. */
    void passedOver(Attempt attempt, PassedOverCause cause, long blockedMillis) {
        UpstreamId upstream = attempt.upstream().id();
        RateLimit limit = context.limits().find(upstream);
        context.metrics().passedOver(cause);
        line("passed_over")
                .put("cause", cause.code())
                .put("upstream", upstream.value())
                .put("per_second", limit == null ? null : Double.toString(limit.perSecond()))
                .put("keeper", context.limitGossip().permitIssuerOf(upstream))
                .put("opens_millis", blockedMillis)
                .write();
    }

    /** Joins the names of upstreams; {@code null} if there are none. */
    private static String names(List<UpstreamEntry> upstreams) {
        return upstreams.isEmpty()
                ? null
                : upstreams.stream().map(entry -> entry.id().value()).collect(Collectors.joining(","));
    }

    /** Notes a failed attempt; a cause says why no other follows. */
    void failed(Attempt attempt, FailureKind kind, RefusalCause cause, long nowMillis) {
        context.metrics().attemptFailed(kind);
        if (cause == null) {
            context.metrics().retried(kind);
        }
        line("attempt_failed")
                .put("attempt", attempts.sent())
                .put("upstream", attempt.upstream().id().value())
                .put("kind", kind.code())
                .put("after_millis", nowMillis - attempt.startMillis())
                .put("last_event", progress.lastEventId())
                .put("next", cause == null ? "send" : cause.code())
                .write();
    }

    /** Notes whether the upstream ended at which an attempt broke off, and what tells the request apart. */
    void attemptInterrupted(Attempt attempt, RequestDigest digest, boolean upstreamEnded) {
        line("broke_off")
                .put("content", digest.toString())
                .put("upstream", attempt.upstream().id().value())
                .put("incarnation", attempt.upstream().id().incarnation())
                .put("upstream_ended", upstreamEnded)
                .put("events", attempt.answerStarted())
                .write();
    }

    /** Notes the first event of an attempt. */
    void firstEvent(Attempt attempt, boolean firstOfAll, long nowMillis) {
        long seen = nowMillis - attempt.startMillis();
        if (firstOfAll) {
            context.metrics().firstAnswer(facts.route().kind(), nowMillis - facts.arrivedMillis());
        }
        context.metrics().predictionError(Math.round(seen - attempt.choice().predictedMillis()));
        line("first_event")
                .put("upstream", attempt.upstream().id().value())
                .put("predicted_millis", Math.round(attempt.choice().predictedMillis()))
                .put("seen_millis", seen)
                .write();
    }

    /** Notes an answer of an upstream. */
    void answered(String event, Attempt attempt, int status, long nowMillis) {
        context.metrics().served(facts.route().kind());
        context.metrics().longestTokenGap(progress.longestTokenGapMillis());
        line(event)
                .put("status", status)
                .put("attempt", attempts.sent())
                .put("upstream", attempt.upstream().id().value())
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("longest_pause_millis", progress.longestTokenGapMillis())
                .write();
    }

    /**
     * Notes the end without an answer of an upstream; status 0 means that a begun answer is broken off. The digest of a
     * request that is refused as suspected tells it apart.
     */
    void refused(RefusalCause cause, int status, long retryMillis, RequestDigest digest, long nowMillis) {
        context.metrics().refused(cause);
        line("refused")
                .put("content", digest == null ? null : digest.toString())
                .put("cause", cause.code())
                .put("status", status)
                .put("attempts", attempts.sent())
                .put("may_have_run", attempts.mayHaveRun())
                .put("retry_after_millis", retryMillis)
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("last_event", progress.lastEventId())
                .write();
    }

    /** Notes that the caller left. */
    void callerLeft(long nowMillis) {
        line("caller_left")
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("attempts", attempts.sent())
                .put("last_event", progress.lastEventId())
                .write();
    }
}
