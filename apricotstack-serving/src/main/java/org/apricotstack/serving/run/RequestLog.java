package org.apricotstack.serving.run;

import java.util.List;
import java.util.stream.Collectors;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.stop.StopTimeline;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;
import org.apricotstack.serving.observe.SuspectFields;

/** Logs and counts the events of one request, with the figures that its decisions were based on. */
final class RequestLog {

    private static final int PERCENT = 100;

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

    /** Starts a log line. */
    private DecisionLog.Line line(String event) {
        return context.log().request(event, facts.request().id());
    }

    /**
     * Logs the arrival; while this router is stopping with the time that is left, whether another router is ready, and
     * the caller's IP address.
     */
    void arrived(String callerIp) {
        StopTimeline stop = context.stop().timeline();
        DecisionLog.Line line = line("arrived")
                .put("route", facts.route().name())
                .put("service", facts.service().value())
                .put(
                        "account",
                        facts.account() == null ? null : facts.accountName().value())
                .put("configuration", facts.configurationVersion())
                .put("limit_millis", facts.endMillis() - facts.arrivedMillis())
                .put("target_millis", facts.route().targetLatencyMillis())
                .put("pause_target_millis", facts.route().tokenGapTargetMillis())
                .put("prompt_tokens", facts.request().promptTokens())
                .put("answer_tokens", facts.request().maxAnswerTokens())
                .put("parts", join(facts.request().promptParts()));
        if (stop.stopping()) {
            line.put("caller", callerIp)
                    .put("stopping_millis", stop.elapsedMillis(facts.arrivedMillis()))
                    .put("stop_left_millis", stop.leftMillis(facts.arrivedMillis()))
                    .put("ready_router", context.stop().others().ready());
        }
        line.write();
    }

    /** Logs that the request waits for capacity or for a rate limit. */
    void waiting(long nowMillis) {
        line("waits")
                .put("left_millis", facts.remainingMillis(nowMillis))
                .put("board", context.loadTable().size())
                .write();
    }

    /** Logs that the request waits because it, or another one with a suspected prompt part, is in trial elsewhere. */
    void waitingForTrial(RequestTrait suspected, long nowMillis) {
        line("held")
                .put(SuspectFields.name(suspected), suspected.toString())
                .put("left_millis", facts.remainingMillis(nowMillis))
                .write();
    }

    /**
     * Logs an attempt and the upstreams that were skipped for it; on a stopping router also the longest time of the
     * request, the time that had to be left for it, whether another router is ready, and the pace that the chosen
     * engine last reported.
     */
    void sent(UpstreamChoice choice, SkippedUpstreams skipped, RequestDuration duration, long nowMillis) {
        skipped.byCause().forEach(this::count);
        DecisionLog.Line line = line("sent")
                .put("attempt", attempts.sent())
                .put("arrivals", attempts.arrivals())
                .put("upstream", choice.upstream().id().value())
                .put("helpers", names(choice.helpers()))
                .put("limits_used_up", names(skipped.of(PassedOverCause.LIMIT)))
                .put("draining", names(skipped.of(PassedOverCause.DRAINING)))
                .put("back_off", names(skipped.of(PassedOverCause.BACK_OFF)))
                .put("evacuated", names(skipped.of(PassedOverCause.EVACUATED)))
                .put(
                        "part_millis",
                        choice.placement() == null
                                ? 0
                                : Math.round(choice.placement().lead().prefillMillis()))
                .put("predicted_millis", Math.round(choice.predictedMillis()))
                .put("reserves", choice.reserves())
                .put("left_millis", facts.remainingMillis(nowMillis))
                .put("board", context.loadTable().size());
        StopGate stop = context.stop();
        if (stop.timeline().stopping()) {
            line.put("stop_left_millis", stop.timeline().leftMillis(nowMillis))
                    .put("longest_millis", duration.longestMillis())
                    .put("needed_millis", stop.neededMillis(facts, duration))
                    .put("ready_router", stop.others().ready())
                    .put("pace_percent", pacePercent(choice));
        }
        line.write();
    }

    /** Returns the time that the chosen engine takes for a token, in percent of the published one. */
    private long pacePercent(UpstreamChoice choice) {
        return Math.round(
                PERCENT * context.loadTable().load(choice.upstream().id()).slowdown());
    }

    /** Counts an attempt for which upstreams were skipped. */
    private void count(PassedOverCause cause, List<UpstreamEntry> upstreams) {
        if (!upstreams.isEmpty()) {
            context.metrics().passedOver(cause);
        }
    }

    /** Logs that a choice was dropped before the request was sent. */
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
        return join(upstreams.stream().map(entry -> entry.id().value()).toList());
    }

    /** Joins names with commas; {@code null} if there are none. */
    private static String join(List<?> names) {
        return names.isEmpty() ? null : names.stream().map(Object::toString).collect(Collectors.joining(","));
    }

    /** Logs a failed attempt; the cause says why it is not retried and is {@code null} if it is. */
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
                .put("retries_left", (long)
                        context.budgets().of(facts.service()).left(nowMillis))
                .write();
    }

    /** Logs and counts that an attempt is not given up although its upstream has been silent for too long. */
    void keptDespiteSilence(Attempt attempt, KeptCause cause, long nowMillis) {
        context.metrics().keptDespiteSilence(cause);
        line("kept_despite_silence")
                .put("attempt", attempts.sent())
                .put("upstream", attempt.upstream().id().value())
                .put("cause", cause.code())
                .put("after_millis", nowMillis - attempt.startMillis())
                .put("last_event", progress.lastEventId())
                .put("stopping", context.stop().timeline().stopping())
                .write();
    }

    /** Logs that a helper did not reserve memory, with the free memory that this router expected there. */
    void reservationRefused(RefusedReservation refused) {
        line("reservation_refused")
                .put("upstream", refused.helper().value())
                .put("kind", refused.result().kind().code())
                .put("tokens", refused.tokens())
                .put("free_tokens", refused.result().freeTokens())
                .put("expected_free_tokens", refused.expectedFreeTokens())
                .write();
    }

    /** Logs whether the upstream of an interrupted attempt crashed, with the digest of the request. */
    void attemptInterrupted(Attempt attempt, RequestDigest digest, boolean upstreamEnded) {
        line("broke_off")
                .put("content", digest.toString())
                .put("upstream", attempt.upstream().id().value())
                .put("incarnation", attempt.upstream().id().incarnation())
                .put("upstream_ended", upstreamEnded)
                .put("events", attempt.answerStarted())
                .write();
    }

    /** Logs and counts that an attempt is sent through another router. */
    void relayed(Attempt attempt, Address relay) {
        context.metrics().relayed();
        line("relayed")
                .put("upstream", attempt.upstream().id().value())
                .put("through", relay.toString())
                .write();
    }

    /** Logs the first event of an attempt. */
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

    /** Logs the response of an upstream. */
    void answered(String event, Attempt attempt, int status, long nowMillis) {
        context.metrics().served(facts.route().kind());
        context.metrics().longestTokenGap(progress.longestTokenGapMillis());
        line(event)
                .put("status", status)
                .put("attempt", attempts.sent())
                .put("upstream", attempt.upstream().id().value())
                .put("connection", attempt.call().connectionNumber())
                .put("earlier_requests", attempt.call().earlierRequests())
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("longest_pause_millis", progress.longestTokenGapMillis())
                .write();
    }

    /**
     * Logs a request that ends without a response of an upstream. Status 0 means that a started response is aborted;
     * a request that is refused as suspected is logged with what is suspected.
     */
    void refused(RefusalCause cause, int status, long retryMillis, RequestTrait suspected, long nowMillis) {
        context.metrics().refused(cause);
        DecisionLog.Line line = line("refused");
        if (suspected != null) {
            line.put(SuspectFields.name(suspected), suspected.toString());
        }
        line.put("cause", cause.code())
                .put("status", status)
                .put("attempts", attempts.sent())
                .put("may_have_run", attempts.mayHaveRun())
                .put("retry_after_millis", retryMillis)
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("last_event", progress.lastEventId())
                .write();
    }

    /** Logs the figures by which a stopping router rejects the request. */
    void rejectedAsStopping(RequestDuration duration, long nowMillis) {
        StopGate stop = context.stop();
        line("rejected_by_stop")
                .put("stopping_millis", stop.timeline().elapsedMillis(nowMillis))
                .put("stop_left_millis", stop.timeline().leftMillis(nowMillis))
                .put("longest_millis", duration.longestMillis())
                .put("needed_millis", stop.neededMillis(facts, duration))
                .put("ready_router", stop.others().ready())
                .put("other_left_millis", stop.others().longestLeftMillis())
                .write();
    }

    /** Logs and counts that the request is still in flight when this process ends. */
    void cutByStop(Attempt attempt, boolean answerStarted, long nowMillis) {
        context.metrics().cutByStop();
        line("cut_by_stop")
                .put(
                        "upstream",
                        attempt == null ? null : attempt.upstream().id().value())
                .put("answer_started", answerStarted)
                .put("attempts", attempts.sent())
                .put("last_event", progress.lastEventId())
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("stopping_millis", context.stop().timeline().elapsedMillis(nowMillis))
                .write();
    }

    /** Logs that the caller disconnected. */
    void callerLeft(long nowMillis) {
        line("caller_left")
                .put("took_millis", nowMillis - facts.arrivedMillis())
                .put("attempts", attempts.sent())
                .put("last_event", progress.lastEventId())
                .write();
    }
}
