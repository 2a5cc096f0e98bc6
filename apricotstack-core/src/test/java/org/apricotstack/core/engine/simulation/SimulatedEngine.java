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
 * <p>Without writers it reads at once, parts of shared readings first and the newest of them ahead. With writers it
 * works in batching: all prefill that waits when a pass begins is done in it, and the writers get an event at its end.
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
    private final Map<Long, Long> contextByWriter = new LinkedHashMap<>();
    private final Set<Long> leads = new HashSet<>();
    private double nowMillis;
    private double stepEndMillis = NEVER;

    /** Takes what happens at an engine. */
    interface Listener {

        /** A part was read. */
        void read(UpstreamId engine, long request);

        /** A writer got its next event. */
        void event(long request);
    }

    /** A part that an engine is to read. */
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

    /** Creates an idle engine that is slower than its profile says by a factor. */
    SimulatedEngine(UpstreamId id, EngineProfile profile, double slowdown, Listener listener) {
        this.id = id;
        this.profile = profile;
        this.slowdown = slowdown;
        this.listener = listener;
    }

    /** Takes a part of a prompt; one that it is to answer waits until it has a slot. */
    void take(long request, boolean shared, boolean lead, double prefillMillis) {
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

    /** Lets a request write, as its prompt was read. */
    void write(long request, long contextTokens) {
        contextByWriter.put(request, contextTokens);
        if (stepEndMillis == NEVER) {
            startStep();
        }
    }

    /** Drops a request. */
    void drop(long request) {
        waiting.removeIf(part -> part.request == request);
        inStep.removeIf(part -> part.request == request);
        queued.removeIf(part -> part.request == request);
        if (contextByWriter.remove(request) != null && contextByWriter.isEmpty()) {
            waiting.addAll(0, inStep);
            inStep.clear();
            stepEndMillis = NEVER;
        }
        if (leads.remove(request) && !queued.isEmpty()) {
            admit(queued.remove(0));
        }
    }

    /** Returns when something happens next. */
    double nextMillis() {
        if (!contextByWriter.isEmpty()) {
            return stepEndMillis;
        }
        return waiting.isEmpty() ? NEVER : nowMillis + waiting.get(0).remainingMillis;
    }

    /** Lets the time pass, at most until something happens. */
    void advance(double toMillis) {
        if (contextByWriter.isEmpty() && !waiting.isEmpty()) {
            waiting.get(0).remainingMillis -= toMillis - nowMillis;
        }
        nowMillis = toMillis;
    }

    /** Does what is due. */
    void act() {
        if (nextMillis() > nowMillis + ROUNDING_MILLIS) {
            return;
        }
        if (contextByWriter.isEmpty()) {
            listener.read(id, waiting.remove(0).request);
        } else {
            endStep();
        }
    }

    private void endStep() {
        List<Part> read = List.copyOf(inStep);
        inStep.clear();
        stepEndMillis = NEVER;
        List.copyOf(contextByWriter.keySet()).forEach(listener::event);
        read.forEach(part -> listener.read(id, part.request));
        if (!contextByWriter.isEmpty() && stepEndMillis == NEVER) {
            startStep();
        }
    }

    private void startStep() {
        inStep.addAll(waiting);
        waiting.clear();
        long context =
                contextByWriter.values().stream().mapToLong(Long::longValue).sum();
        double prefill =
                inStep.stream().mapToDouble(part -> part.remainingMillis).sum();
        stepEndMillis = nowMillis + profile.batchStepMillis(contextByWriter.size(), context) * slowdown + prefill;
    }
}
