package org.apricotstack.serving.run;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import org.apricotstack.core.engine.EngineCandidate;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.EnginePlacer;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.engine.PerRouterEngineOrder;
import org.apricotstack.core.engine.PlacementChoice;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.PlainCandidate;
import org.apricotstack.core.upstream.PlainUpstreamSelector;
import org.apricotstack.core.upstream.ResponseTimeTable;
import org.apricotstack.core.upstream.SpeedChange;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.PassedOverCause;

/** Chooses upstreams: engines by the placer, plain upstreams by {@link PlainUpstreamSelector}. */
final class UpstreamChooser {

    private final ServingContext context;
    private final UpstreamGates gates;
    private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
    private final ResponseTimeTable responseTimes = new ResponseTimeTable();
    private final SilenceCheck silenceCheck;
    private long placements;

    /** Creates a chooser. */
    UpstreamChooser(ServingContext context, UpstreamGates gates) {
        this.context = context;
        this.gates = gates;
        this.silenceCheck = new SilenceCheck(context, gates);
    }

    /** Returns the check that explains why an engine is silent. */
    SilenceCheck silenceCheck() {
        return silenceCheck;
    }

    /** Chooses the upstreams for the next attempt of a request; {@code null} if none can respond in time. */
    UpstreamChoice choose(RequestFacts facts, boolean answerStarted, Set<UpstreamId> excluded) {
        return facts.runsOnEngines()
                ? chooseEngines(
                        facts.service(),
                        facts.profile().engine().orElseThrow(),
                        facts.prompt(context.nowMillis(), answerStarted),
                        excluded)
                : choosePlain(facts, excluded);
    }

    /** Chooses an upstream of a plain service; {@code null} if none is available. */
    private UpstreamChoice choosePlain(RequestFacts facts, Set<UpstreamId> excluded) {
        long now = context.nowMillis();
        List<PlainCandidate> candidates = new ArrayList<>();
        for (UpstreamEntry entry : context.upstreams().usable(facts.service())) {
            if (!excluded.contains(entry.id()) && gates.blockedMillis(entry.id()) == 0) {
                candidates.add(plainCandidate(facts, entry, now));
            }
        }
        UpstreamId best = PlainUpstreamSelector.select(candidates, facts.remainingMillis(now));
        return best == null
                ? null
                : new UpstreamChoice(context.upstreams().find(best), List.of(), null, 0, false, false, false);
    }

    /** Collects what is known of a plain upstream. */
    private PlainCandidate plainCandidate(RequestFacts facts, UpstreamEntry entry, long now) {
        return new PlainCandidate(
                entry.id(),
                inFlight.getOrDefault(entry.id(), 0),
                context.outlierDetector().failureProbability(entry.id(), now),
                entry.dataCentre().equals(context.dataCentre()),
                responseTimes.slowdown(facts.service(), entry.id(), now),
                responseTimes.expectedMillis(facts.service(), facts.route().name(), entry.id()));
    }

    /** Chooses engines for a prompt; {@code null} if none can send a first event in time. */
    private UpstreamChoice chooseEngines(
            ServiceId service, EngineProfile profile, PromptRequest request, Set<UpstreamId> excluded) {
        long now = context.nowMillis();
        context.loadTable().expire(now);
        List<EngineCandidate> candidates = new ArrayList<>();
        for (UpstreamEntry entry : context.upstreams().usable(service)) {
            if (!excluded.contains(entry.id()) && gates.blockedMillis(entry.id()) == 0) {
                context.loadTable().load(entry.id()).profile(profile);
                candidates.add(new EngineCandidate(
                        entry.id(),
                        context.loadTable().load(entry.id()),
                        context.outlierDetector().failureProbability(entry.id(), now),
                        context.outlierDetector().answersReservationCalls(entry.id(), now),
                        !gates.limits().isLimited(entry.id())
                                && context.outlierDetector().helps(entry.id(), now)));
            }
        }
        List<EngineCandidate> ordered = context.placementGossip().hasPeerPlacements()
                ? candidates
                : PerRouterEngineOrder.of(context.process(), candidates);
        PlacementChoice choice = ordered.isEmpty() ? null : new EnginePlacer(profile).choose(request, ordered, now);
        if (choice == null || !choice.found()) {
            return null;
        }
        PlacementId id = new PlacementId(context.process(), ++placements);
        EnginePlacement placement = new EnginePlacement(
                id,
                choice.parts(),
                request.promptTokens(),
                request.targetLatencyMillis(),
                request.tokenGapTargetMillis());
        List<UpstreamEntry> helpers = new ArrayList<>();
        for (EnginePart part : choice.parts().subList(1, choice.parts().size())) {
            helpers.add(context.upstreams().find(part.engine()));
        }
        UpstreamEntry lead = context.upstreams().find(placement.lead().engine());
        return new UpstreamChoice(
                lead,
                helpers,
                placement,
                choice.firstTokenMillis(),
                choice.reservesMemory(),
                PromptAdmission.isExpensive(choice, request.promptTokens()),
                PromptAdmission.isRefused(choice, request.promptTokens()));
    }

    /** Returns when the first usable upstream of a service accepts requests again, if all are blocked now. */
    NextAvailability nextAvailability(ServiceId service, Set<UpstreamId> excluded) {
        if (gates.isIdle()) {
            return NextAvailability.IMMEDIATE;
        }
        NextAvailability first = null;
        for (UpstreamEntry entry : context.upstreams().usable(service)) {
            if (!excluded.contains(entry.id())) {
                UpstreamRestriction blocked = gates.blocked(entry.id());
                if (blocked == null) {
                    return NextAvailability.IMMEDIATE;
                }
                if (first == null || blocked.remainingMillis() < first.millis()) {
                    first = new NextAvailability(blocked.remainingMillis(), blocked.cause());
                }
            }
        }
        return first == null ? NextAvailability.IMMEDIATE : first;
    }

    /** Returns the upstreams of a service that are skipped now because of their notices. */
    SkippedUpstreams skippedUpstreams(ServiceId service) {
        if (gates.isIdle()
                && context.upstreams().drains().isEmpty()
                && context.upstreams().evacuations().isEmpty()) {
            return SkippedUpstreams.NONE;
        }
        Map<PassedOverCause, List<UpstreamEntry>> byCause = new EnumMap<>(PassedOverCause.class);
        List<UpstreamEntry> usable = context.upstreams().usable(service);
        for (PassedOverCause cause : List.of(PassedOverCause.LIMIT, PassedOverCause.COLD)) {
            byCause.put(
                    cause,
                    usable.stream()
                            .filter(entry -> gates.limits().blockedMillis(entry.id()) > 0
                                    && gates.limits().cause(entry.id()) == cause)
                            .toList());
        }
        byCause.put(PassedOverCause.DRAINING, context.upstreams().draining(service));
        byCause.put(
                PassedOverCause.BACK_OFF,
                usable.stream()
                        .filter(entry -> gates.backOffs().blockedMillis(entry.id()) > 0)
                        .toList());
        byCause.put(PassedOverCause.EVACUATED, gates.evacuated(service));
        return new SkippedUpstreams(byCause);
    }

    /** Returns whether a stream that waits for a busy engine would get its next event sooner at another one. */
    boolean fasterElsewhere(RequestFacts facts, UpstreamChoice used, boolean answerStarted, Set<UpstreamId> excluded) {
        UpstreamId engine = used.upstream().id();
        double here = nextEventMillis(used, answerStarted);
        if (here < TimeoutPolicy.MIN_MOVE_GAIN_MILLIS) {
            return false;
        }
        Set<UpstreamId> others = new HashSet<>(excluded);
        others.add(engine);
        UpstreamChoice elsewhere = choose(facts, answerStarted, others);
        return elsewhere != null
                && !elsewhere.expensive()
                && elsewhere.predictedMillis() + TimeoutPolicy.MIN_MOVE_GAIN_MILLIS < here;
    }

    /**
     * Predicts the time to the next event of a stream; while several engines prefill its prompt, the time until all
     * have finished.
     */
    private double nextEventMillis(UpstreamChoice used, boolean answerStarted) {
        long now = context.nowMillis();
        double prefillMillis = answerStarted || used.helpers().isEmpty()
                ? 0
                : context.loadTable().remainingPrefillMillis(used.placement().id(), now);
        return prefillMillis > 0
                ? prefillMillis
                : context.loadTable().load(used.upstream().id()).nextEventMillis(now);
    }

    /** Records the start of an attempt and reports its placement. */
    void begin(UpstreamChoice choice, long limitMillis) {
        inFlight.merge(choice.upstream().id(), 1, Integer::sum);
        context.outlierDetector().trialStarted(choice.upstream().id(), context.nowMillis());
        if (choice.placement() == null) {
            responseTimes.sent(choice.upstream().service(), choice.upstream().id(), context.nowMillis());
        } else {
            context.loadTable().place(choice.placement(), context.nowMillis(), limitMillis);
            context.placementGossip().placementStarted(choice.placement(), limitMillis);
        }
    }

    /** Records that the first event arrived and reports that decoding has started. */
    void decodeStarted(UpstreamChoice choice) {
        if (choice.placement() != null) {
            context.loadTable().startDecoding(choice.placement().id(), context.nowMillis());
            context.placementGossip().decodeStarted(choice.placement());
        }
    }

    /** Records a failed attempt against the responsible upstream, which is the chosen one or one of its helpers. */
    void failed(UpstreamChoice choice, UpstreamId responsible, FailureKind kind) {
        if (kind == FailureKind.HELPER_GONE
                && !responsible.equals(choice.upstream().id())) {
            context.outlierDetector().helpRefused(responsible, context.nowMillis());
        }
        failed(responsible, kind);
    }

    /**
     * Records a complete answer that is no failure of the upstream, and the response time of a plain upstream that
     * did the request's work: a refused request (4xx) takes less.
     */
    void answered(RequestFacts facts, Attempt attempt, HttpResponseStatus status) {
        UpstreamId upstream = attempt.upstream().id();
        context.outlierDetector().succeeded(upstream);
        boolean didWork = status.codeClass() == HttpStatusClass.SUCCESS;
        if (!didWork || facts.runsOnEngines() || facts.route().kind() == RequestKind.STREAMING) {
            return;
        }
        long now = context.nowMillis();
        responseTimes.retain(id -> context.upstreams().find(id) != null);
        if (context.upstreams().find(upstream) == null) {
            return;
        }
        SpeedChange change = responseTimes.answered(
                facts.service(), facts.route().name(), upstream, now - attempt.sentMillis(), now);
        if (change != SpeedChange.NONE) {
            reportSpeed(facts, upstream, change);
        }
    }

    /**
     * Returns the expected time from sending a request to a plain upstream to its response, in milliseconds; the
     * latency target if nothing is known.
     */
    long expectedMillis(RequestFacts facts, UpstreamChoice choice) {
        double expected = responseTimes.expectedMillis(
                facts.service(), facts.route().name(), choice.upstream().id());
        return expected > 0 ? Math.round(expected) : facts.route().targetLatencyMillis();
    }

    /** Logs and counts that a plain upstream turned slow or recovered. */
    private void reportSpeed(RequestFacts facts, UpstreamId upstream, SpeedChange change) {
        context.metrics().speedChanged(change);
        context.log()
                .line(change == SpeedChange.SLOW ? "upstream_slow" : "upstream_recovered")
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("route", facts.route().name())
                .put(
                        "expected_millis",
                        Math.round(responseTimes.expectedMillis(
                                facts.service(), facts.route().name(), upstream)))
                .write();
    }

    /**
     * Records a failure against the responsible upstream and reports it to the other routers, unless the upstream is
     * draining.
     */
    void failed(UpstreamId responsible, FailureKind kind) {
        if (context.upstreams().isDraining(responsible)) {
            return;
        }
        long now = context.nowMillis();
        long avoid = 0;
        if (kind == FailureKind.FULL) {
            avoid = context.outlierDetector().rejectedAsFull(responsible, now);
        } else if (kind.countsAsFailure()) {
            avoid = context.outlierDetector().failed(responsible, kind, now);
        }
        if (avoid == 0) {
            return;
        }
        context.placementGossip().upstreamAvoided(responsible, avoid);
        context.log()
                .line("avoided")
                .put("upstream", responsible.value())
                .put("kind", kind.code())
                .put("avoid_millis", avoid)
                .write();
    }

    /** Records that a helper did not reserve memory; one that refuses all help counts as a helper that is gone. */
    void reservationRefused(RefusedReservation refused) {
        if (refused.result().refusesHelp(refused.tokens())) {
            context.outlierDetector().helpRefused(refused.helper(), context.nowMillis());
            failed(refused.helper(), FailureKind.HELPER_GONE);
        }
    }

    /** Records the end of an attempt and reports the end of its placement. */
    void end(UpstreamChoice choice) {
        inFlight.computeIfPresent(choice.upstream().id(), (id, count) -> count > 1 ? count - 1 : null);
        if (choice.placement() != null) {
            context.loadTable().remove(choice.placement().id(), context.nowMillis());
            context.placementGossip().placementEnded(choice.placement());
        }
    }
}
