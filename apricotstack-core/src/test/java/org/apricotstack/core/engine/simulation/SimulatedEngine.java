package org.apricotstack.core.engine.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.UpstreamId;

/**
 * An engine in virtual time.
 *
 * <p>While no request decodes, it prefills without batch steps: parts of shared prefills first, newest first. While
 * any request decodes, it works in batch steps: all prefill that is waiting when a step begins is done in it, and each
 * decoding request gets an event at its end.
 */
final class SimulatedEngine {

    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final double ROUNDING_MILLIS = 1e-9;

    private final UpstreamId id;
    private final EngineProfile profile;
    private final double slowdown;
    private final Listener listener;
    private final List<Part> waiting = new ArrayList<>();
    private final List<Part> inStep = new ArrayList<>();
    private final List<Part> queued = new ArrayList<>();
    private final Map<Long, Long> contextByDecodingRequest = new LinkedHashMap<>();
    private final Set<Long> leads = new HashSet<>();
    private double nowMillis;
    private double stepEndMillis = NEVER;

    /** Receives the events of an engine. */
    interface Listener {

        /** Called when the prefill of a part is done. */
        void prefillDone(UpstreamId engine, long request);

        /** Called when a decoding request gets its next event. */
        void event(long request);
    }

    /** A part of a prompt to prefill. */
    private static final class Part {
        private final long request;
        private final boolean shared;
        private final boolean lead;
        private double remainingMillis;

        private Part(long request, boolean shared, boolean lead, double remainingMillis) {
            this.request = request;
            this.shared = shared;
            this.lead = lead;
            this.remainingMillis = remainingMillis;
        }
    }

    /** Creates an idle engine that is slower than its profile by a factor. */
    SimulatedEngine(UpstreamId id, EngineProfile profile, double slowdown, Listener listener) {
        this.id = id;
        this.profile = profile;
        this.slowdown = slowdown;
        this.listener = listener;
    }

    /** Submits a part of a prompt; if the engine leads the request, the part waits until a slot is free. */
    void submit(long request, boolean shared, boolean lead, double prefillMillis) {
        Part part = new Part(request, shared, lead, prefillMillis * slowdown);
        if (lead && leads.size() >= profile.slots()) {
            queued.add(part);
        } else {
            admit(part);
        }
    }

    private void admit(Part part) {
        if (part.lead) {
            leads.add(part.request);
        }
        waiting.add(part.shared ? 0 : waiting.size(), part);
    }

    /** Starts the decode of a request whose prefill is done. */
    void startDecoding(long request, long contextTokens) {
        contextByDecodingRequest.put(request, contextTokens);
        if (stepEndMillis == NEVER) {
            startStep();
        }
    }

    /** Removes a request. */
    void remove(long request) {
        waiting.removeIf(part -> part.request == request);
        inStep.removeIf(part -> part.request == request);
        queued.removeIf(part -> part.request == request);
        if (contextByDecodingRequest.remove(request) != null && contextByDecodingRequest.isEmpty()) {
            waiting.addAll(0, inStep);
            inStep.clear();
            stepEndMillis = NEVER;
        }
        if (leads.remove(request) && !queued.isEmpty()) {
            admit(queued.remove(0));
        }
    }

    /** Returns the time of the next event. */
    double nextMillis() {
        if (!contextByDecodingRequest.isEmpty()) {
            return stepEndMillis;
        }
        return waiting.isEmpty() ? NEVER : nowMillis + waiting.get(0).remainingMillis;
    }

    /** Advances the time; must not skip an event. */
    void advance(double toMillis) {
        if (contextByDecodingRequest.isEmpty() && !waiting.isEmpty()) {
            waiting.get(0).remainingMillis -= toMillis - nowMillis;
        }
        nowMillis = toMillis;
    }

    /** Runs the event that is due, if any. */
    void fireDue() {
        if (nextMillis() > nowMillis + ROUNDING_MILLIS) {
            return;
        }
        if (contextByDecodingRequest.isEmpty()) {
            listener.prefillDone(id, waiting.remove(0).request);
        } else {
            endStep();
        }
    }

    private void endStep() {
        List<Part> prefilled = List.copyOf(inStep);
        inStep.clear();
        stepEndMillis = NEVER;
        List.copyOf(contextByDecodingRequest.keySet()).forEach(listener::event);
        prefilled.forEach(part -> listener.prefillDone(id, part.request));
        if (!contextByDecodingRequest.isEmpty() && stepEndMillis == NEVER) {
            startStep();
        }
    }

    private void startStep() {
        inStep.addAll(waiting);
        waiting.clear();
        long context = contextByDecodingRequest.values().stream()
                .mapToLong(Long::longValue)
                .sum();
        double prefill =
                inStep.stream().mapToDouble(part -> part.remainingMillis).sum();
        stepEndMillis =
                nowMillis + profile.batchStepMillis(contextByDecodingRequest.size(), context) * slowdown + prefill;
    }
}
