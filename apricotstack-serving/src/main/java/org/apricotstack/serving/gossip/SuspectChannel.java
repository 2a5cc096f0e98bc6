package org.apricotstack.serving.gossip;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import com.google.protobuf.MessageLite;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.TokenBucket;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.run.SuspectGossip;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

/**
 * Reports requests under which upstreams crash to the other routers, and applies their reports.
 *
 * <p>An attacker may send any number of different requests each of which crashes an upstream, and each crash is
 * reported with all requests that were in flight. So the traffic is bounded: reports of requests under which only one
 * upstream has crashed so far have a budget of their own, and are dropped first. Dropped reports are counted; the
 * crashes stay known to this router.
 */
public final class SuspectChannel implements SuspectGossip {

    /** Refill rate of each of the two budgets, in bytes a second; all control traffic has 2,000 bytes a second. */
    private static final double BYTES_PER_SECOND = 300;

    /** Maximum of a budget, in bytes: enough for a crash of ten upstreams in a fleet of hundreds. */
    private static final double MAX_BUDGET_BYTES = 40_000;

    /**
     * Maximum number of requests that are reported when a stream opens, those with the most crashes first; about 10
     * kilobytes.
     */
    private static final int MAX_REPORTED_ON_CONNECT = 64;

    private final ServingLoop loop;
    private final SuspectTable table;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> frameBuilder;
    private final IntSupplier receivers;
    private final TokenBucket firstCrashBudget;
    private final TokenBucket repeatedCrashBudget;
    private HeartbeatSender heartbeats;
    private Consumer<RequestDigest> onCrashReported = request -> {};
    private long received;
    private long dropped;

    /**
     * Creates a channel.
     *
     * @param loop the event loop
     * @param table receives the reports of other routers
     * @param log receives the reports of other routers
     * @param frameBuilder supplies the frame that is sent at the end of this turn of the event loop
     * @param receivers number of routers to which that frame is sent
     */
    SuspectChannel(
            ServingLoop loop,
            SuspectTable table,
            DecisionLog log,
            Supplier<NewsFrame.Builder> frameBuilder,
            IntSupplier receivers) {
        this.loop = loop;
        this.table = table;
        this.log = log;
        this.frameBuilder = frameBuilder;
        this.receivers = receivers;
        this.firstCrashBudget = new TokenBucket(MAX_BUDGET_BYTES, nowNanos());
        this.repeatedCrashBudget = new TokenBucket(MAX_BUDGET_BYTES, nowNanos());
    }

    /** Sets the sender that reaches routers without an open stream. */
    void sendThrough(HeartbeatSender heartbeatSender) {
        heartbeats = heartbeatSender;
    }

    /**
     * Sets the listener for crashes under a request that another router reports.
     *
     * @param action receives the request
     */
    public void onCrashReported(Consumer<RequestDigest> action) {
        onCrashReported = action;
    }

    /** Returns the current time, in nanoseconds. */
    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(loop.nowMillis());
    }

    /** Returns whether the budget allows a message, and counts one that it does not allow. */
    private boolean mayReport(TokenBucket budget, MessageLite message) {
        double bytes = (double) message.getSerializedSize() * Math.max(1, receivers.getAsInt());
        boolean allowed = budget.take(bytes, BYTES_PER_SECOND, MAX_BUDGET_BYTES, nowNanos()) == 0;
        dropped += allowed ? 0 : 1;
        return allowed;
    }

    @Override
    public void upstreamCrashed(
            UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> answerStarted, boolean isRepeated) {
        UpstreamEnded crash = SuspectMessages.ended(upstream, requests, answerStarted);
        if (mayReport(isRepeated ? repeatedCrashBudget : firstCrashBudget, crash)) {
            heartbeats.openStreams();
            frameBuilder.get().addUpstreamEnded(crash);
        }
    }

    @Override
    public void broadcast(SuspectedRequest suspect) {
        NewsFrame.Builder frame = NewsFrame.newBuilder();
        suspect.crashes().forEach(crash -> frame.addUpstreamEnded(SuspectMessages.ended(suspect.request(), crash)));
        NewsFrame built = frame.build();
        if (mayReport(repeatedCrashBudget, built)) {
            heartbeats.sendToStandby(EncodedFrame.of(built));
        }
    }

    @Override
    public void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis) {
        Trial trial = SuspectMessages.trial(request, upstream, limitMillis);
        if (mayReport(firstCrashBudget, trial)) {
            frameBuilder.get().addTrials(trial);
        }
    }

    @Override
    public void trialEnded(RequestDigest request) {
        RequestHashes hashes = SuspectMessages.hashes(request);
        if (mayReport(firstCrashBudget, hashes)) {
            frameBuilder.get().addTrialsEnded(hashes);
        }
    }

    @Override
    public void served(RequestDigest request) {
        RequestHashes hashes = SuspectMessages.hashes(request);
        if (mayReport(firstCrashBudget, hashes)) {
            frameBuilder.get().addServed(hashes);
        }
    }

    /** Returns whether any request is suspected, which the other routers have to learn. */
    boolean hasState() {
        return !table.isEmpty();
    }

    /** Adds known crashes to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        for (SuspectedRequest suspect : table.list(MAX_REPORTED_ON_CONNECT, loop.nowMillis())) {
            suspect.crashes().forEach(crash -> frame.addUpstreamEnded(SuspectMessages.ended(suspect.request(), crash)));
        }
    }

    /** Ends the trials of a router process that has ended. */
    void removeProcess(ProcessId removed) {
        table.removeProcess(removed, loop.nowMillis());
    }

    /** Applies the reports of another router; its process is {@code null} for a datagram. */
    void receive(NewsFrame frame, ProcessId sender) {
        long now = loop.nowMillis();
        for (UpstreamEnded crash : frame.getUpstreamEndedList()) {
            crash.getRequestsList().forEach(hashes -> receiveCrash(crash, hashes, false, sender));
            crash.getBegunList().forEach(hashes -> receiveCrash(crash, hashes, true, sender));
        }
        if (sender != null) {
            for (Trial trial : frame.getTrialsList()) {
                RequestDigest request = SuspectMessages.digest(trial.getRequest());
                table.trialStarted(request, sender, SuspectMessages.upstream(trial), now + trial.getLimitMillis());
            }
            frame.getTrialsEndedList().forEach(hashes -> table.trialEnded(SuspectMessages.digest(hashes), sender, now));
        }
        frame.getServedList().forEach(hashes -> table.requestServed(SuspectMessages.digest(hashes)));
    }

    /** Applies a crash of an upstream under a request at another router. */
    private void receiveCrash(UpstreamEnded crash, RequestHashes hashes, boolean answerStarted, ProcessId sender) {
        long now = loop.nowMillis();
        RequestDigest request = SuspectMessages.digest(hashes);
        UpstreamId upstream = SuspectMessages.upstream(crash);
        long atMillis = now - Math.max(0, crash.getAgoMillis());
        ProcessId observer = crash.getAgoMillis() == 0 ? sender : null;
        if (!table.upstreamCrashed(request, new ObservedCrash(upstream, answerStarted, atMillis), observer, now)) {
            return;
        }
        received++;
        log.line("heard_of_end")
                .put("content", request.toString())
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("events", answerStarted)
                .put("ago_millis", crash.getAgoMillis())
                .put("source", sender == null ? "datagram" : sender.host().value())
                .write();
        onCrashReported.accept(request);
    }

    /**
     * Returns the number of crashes that other routers reported.
     *
     * @return crashes since the start, counted once for each request
     */
    public long received() {
        return received;
    }

    /**
     * Returns the number of messages that were dropped for lack of budget.
     *
     * @return messages since the start
     */
    public long dropped() {
        return dropped;
    }
}
