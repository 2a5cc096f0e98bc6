package org.apricotstack.serving.run;

import java.util.Map;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.AdvertisedCold;
import org.apricotstack.core.ratelimit.ColdState;
import org.apricotstack.core.ratelimit.ColdTable;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.ColdLog;

/** Tracks the upstreams that are cold, and reports to the other routers what their responses state. */
final class ColdGate {

    private final ServingContext context;
    private final ColdLog log;

    /** Creates a gate. */
    ColdGate(ServingContext context) {
        this.context = context;
        this.log = new ColdLog(context.log());
    }

    /** Returns the cold upstreams. */
    private ColdTable table() {
        return context.limits().cold();
    }

    /** Returns whether no upstream is cold. */
    boolean isIdle() {
        return table().isEmpty();
    }

    /** Processes what an answer states. */
    void answered(UpstreamId upstream, AdvertisedCold stated, long sentMillis) {
        UpstreamEntry entry = stated.kind() == AdvertisedCold.Kind.ABSENT
                ? null
                : context.upstreams().find(upstream);
        if (entry == null || !context.limits().coldRates().tracks(entry.service())) {
            return;
        }
        if (stated.kind() == AdvertisedCold.Kind.UNREADABLE) {
            context.metrics().coldUnreadable();
        }
        long now = context.nowMillis();
        ColdState before = table().find(upstream, now);
        LimitChange change = table().answerReceived(upstream, stated, sentMillis, now);
        noteChange(upstream, change, before);
        if (change != LimitChange.NONE) {
            context.limitGossip().coldChanged(upstream, change);
        }
    }

    /** Processes a new entry; started says whether the upstream was listed for the first time. */
    void listed(UpstreamEntry entry, boolean started) {
        if (!context.limits().coldRates().tracks(entry.service())) {
            return;
        }
        if (entry.cold().kind() == AdvertisedCold.Kind.UNREADABLE) {
            context.metrics().coldUnreadable();
        }
        long now = context.nowMillis();
        ColdState before = table().find(entry.id(), now);
        long startMillis = started ? context.limits().coldRates().startMillis(entry.service()) : 0;
        noteChange(entry.id(), table().listed(entry.id(), entry.cold(), startMillis, now), before);
    }

    /** Counts and logs a change. */
    private void noteChange(UpstreamId upstream, LimitChange change, ColdState before) {
        long now = context.nowMillis();
        if (change == LimitChange.BEGAN) {
            context.metrics().coldBegan();
            log.cold(upstream, table().find(upstream, now), "own", now);
        } else if (change == LimitChange.ENDED) {
            log.warm(upstream, before, now);
        }
    }

    /** Removes the state of an incarnation that no longer runs. */
    void forget(UpstreamId upstream) {
        table().forget(upstream);
    }

    /** Removes the cold periods that are over. */
    void expire() {
        long now = context.nowMillis();
        Map<UpstreamId, ColdState> over = table().expire(now);
        over.forEach((upstream, state) -> log.warm(upstream, state, now));
    }
}
