package org.apricotstack.core.engine.play;

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
 * works in passes: all reading that waits when a pass begins is done in it, and the writers get an event at its end.
 */
final class PlayedEngine {

    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final double ROUNDING_MILLIS = 1e-9;

    private final UpstreamId id;
    private final EngineProfile profile;
    private final double pace;
    private final Listener listener;
    private final List<Part> waiting = new ArrayList<>();
    private final List<Part> inPass = new ArrayList<>();
    private final List<Part> queued = new ArrayList<>();
    private final Map<Long, Long> contextByWriter = new LinkedHashMap<>();
    private final Set<Long> leads = new HashSet<>();
    private double nowMillis;
    private double passEndMillis = NEVER;

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
        private double leftMillis;

        private Part(long request, boolean shared, boolean lead, double leftMillis) {
            this.request = request;
            this.shared = shared;
            this.lead = lead;
            this.leftMillis = leftMillis;
        }
    }

    /** Creates an idle engine that is slower than its profile says by a factor. */
    PlayedEngine(UpstreamId id, EngineProfile profile, double pace, Listener listener) {
        this.id = id;
        this.profile = profile;
        this.pace = pace;
        this.listener = listener;
    }

    /** Takes a part of a prompt; one that it is to answer waits until it has a slot. */
    void take(long request, boolean shared, boolean lead, double readMillis) {
        Part part = new Part(request, shared, lead, readMillis * pace);
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
        if (passEndMillis == NEVER) {
            beginPass();
        }
    }

    /** Drops a request. */
    void drop(long request) {
        waiting.removeIf(part -> part.request == request);
        inPass.removeIf(part -> part.request == request);
        queued.removeIf(part -> part.request == request);
        if (contextByWriter.remove(request) != null && contextByWriter.isEmpty()) {
            waiting.addAll(0, inPass);
            inPass.clear();
            passEndMillis = NEVER;
        }
        if (leads.remove(request) && !queued.isEmpty()) {
            admit(queued.remove(0));
        }
    }

    /** Returns when something happens next. */
    double nextMillis() {
        if (!contextByWriter.isEmpty()) {
            return passEndMillis;
        }
        return waiting.isEmpty() ? NEVER : nowMillis + waiting.get(0).leftMillis;
    }

    /** Lets the time pass, at most until something happens. */
    void advance(double toMillis) {
        if (contextByWriter.isEmpty() && !waiting.isEmpty()) {
            waiting.get(0).leftMillis -= toMillis - nowMillis;
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
            endPass();
        }
    }

    private void endPass() {
        List<Part> read = List.copyOf(inPass);
        inPass.clear();
        passEndMillis = NEVER;
        List.copyOf(contextByWriter.keySet()).forEach(listener::event);
        read.forEach(part -> listener.read(id, part.request));
        if (!contextByWriter.isEmpty() && passEndMillis == NEVER) {
            beginPass();
        }
    }

    private void beginPass() {
        inPass.addAll(waiting);
        waiting.clear();
        long context =
                contextByWriter.values().stream().mapToLong(Long::longValue).sum();
        double reading = inPass.stream().mapToDouble(part -> part.leftMillis).sum();
        passEndMillis = nowMillis + profile.passMillis(contextByWriter.size(), context) * pace + reading;
    }
}
