package org.apricotstack.serving.gossip;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import com.google.protobuf.MessageLite;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.TokenBucket;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedTrait;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.SuspectFields;
import org.apricotstack.serving.run.CrashReport;
import org.apricotstack.serving.run.SuspectGossip;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.RequestHashes;
import org.apricotstack.wire.news.Trial;
import org.apricotstack.wire.news.UpstreamEnded;

/**
 * Reports requests and prompt parts under which upstreams crash to the other routers, and applies their reports.
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

    /** Maximum number of prompt parts that are reported for a crash, those with the most crashes first; a kilobyte. */
    private static final int MAX_REPORTED_PARTS = 128;

    private final ServingLoop loop;
    private final SuspectTable table;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> frameBuilder;
    private final IntSupplier receivers;
    private final TokenBucket firstCrashBudget;
    private final TokenBucket repeatedCrashBudget;
    private HeartbeatSender heartbeats;
    private Consumer<RequestTrait> onCrashReported = trait -> {};
    private long received;
    private long dropped;
    private long partsDropped;

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
     * Sets the listener for crashes under a request or prompt part that another router reports.
     *
     * @param action receives the request or prompt part
     */
    public void onCrashReported(Consumer<RequestTrait> action) {
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
    public void upstreamCrashed(CrashReport report, boolean isRepeated) {
        UpstreamEnded crash = SuspectMessages.ended(report, mostSuspected(report.parts()));
        if (mayReport(isRepeated ? repeatedCrashBudget : firstCrashBudget, crash)) {
            heartbeats.openStreams();
            frameBuilder.get().addUpstreamEnded(crash);
        }
    }

    /** Returns the parts to report, and counts those that are left out. */
    private List<PromptPart> mostSuspected(List<PromptPart> parts) {
        if (parts.size() <= MAX_REPORTED_PARTS) {
            return parts;
        }
        partsDropped += parts.size() - MAX_REPORTED_PARTS;
        return parts.stream()
                .sorted(Comparator.comparingInt(part -> -crashes(part)))
                .limit(MAX_REPORTED_PARTS)
                .toList();
    }

    /** Returns the number of known crashes under a request or part. */
    private int crashes(RequestTrait trait) {
        SuspectedTrait suspect = table.find(trait, loop.nowMillis());
        return suspect == null ? 0 : suspect.crashes().size();
    }

    @Override
    public void broadcast(SuspectedTrait suspect) {
        NewsFrame.Builder frame = NewsFrame.newBuilder();
        suspect.crashes().forEach(crash -> frame.addUpstreamEnded(SuspectMessages.ended(suspect.trait(), crash)));
        NewsFrame built = frame.build();
        if (mayReport(repeatedCrashBudget, built)) {
            heartbeats.sendToStandby(EncodedFrame.of(built));
        }
    }

    @Override
    public void trialStarted(RequestTrait trait, UpstreamId upstream, long limitMillis) {
        Trial trial = SuspectMessages.trial(trait, upstream, limitMillis);
        if (mayReport(firstCrashBudget, trial)) {
            frameBuilder.get().addTrials(trial);
        }
    }

    @Override
    public void trialEnded(RequestTrait trait) {
        report(trait, NewsFrame.Builder::addTrialsEnded, NewsFrame.Builder::addPartTrialsEnded);
    }

    @Override
    public void served(RequestTrait trait) {
        report(trait, NewsFrame.Builder::addServed, NewsFrame.Builder::addServedParts);
    }

    /** Adds a request or a prompt part to the next frame if the budget allows it. */
    private void report(
            RequestTrait trait,
            BiConsumer<NewsFrame.Builder, RequestHashes> addRequest,
            BiConsumer<NewsFrame.Builder, org.apricotstack.wire.news.PromptPart> addPart) {
        if (trait instanceof RequestDigest request) {
            RequestHashes hashes = SuspectMessages.hashes(request);
            if (mayReport(firstCrashBudget, hashes)) {
                addRequest.accept(frameBuilder.get(), hashes);
            }
        } else if (trait instanceof PromptPart part) {
            org.apricotstack.wire.news.PromptPart message = SuspectMessages.part(part);
            if (mayReport(firstCrashBudget, message)) {
                addPart.accept(frameBuilder.get(), message);
            }
        }
    }

    /** Returns whether anything is suspected, which the other routers have to learn. */
    boolean hasState() {
        return !table.isEmpty();
    }

    /** Adds known crashes to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        for (SuspectedTrait suspect : table.list(MAX_REPORTED_ON_CONNECT, loop.nowMillis())) {
            suspect.crashes().forEach(crash -> frame.addUpstreamEnded(SuspectMessages.ended(suspect.trait(), crash)));
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
            crash.getRequestsList()
                    .forEach(hashes -> receiveCrash(crash, SuspectMessages.digest(hashes), false, sender));
            crash.getBegunList().forEach(hashes -> receiveCrash(crash, SuspectMessages.digest(hashes), true, sender));
            SuspectMessages.parts(crash).forEach(part -> receiveCrash(crash, part, false, sender));
        }
        if (sender != null) {
            for (Trial trial : frame.getTrialsList()) {
                UpstreamId upstream = SuspectMessages.upstream(trial);
                table.trialStarted(SuspectMessages.trait(trial), sender, upstream, now + trial.getLimitMillis());
            }
            frame.getTrialsEndedList().forEach(hashes -> table.trialEnded(SuspectMessages.digest(hashes), sender, now));
            frame.getPartTrialsEndedList().forEach(part -> table.trialEnded(SuspectMessages.part(part), sender, now));
        }
        frame.getServedList().forEach(hashes -> table.requestServed(SuspectMessages.digest(hashes)));
        frame.getServedPartsList().forEach(part -> table.sharedTraitServed(SuspectMessages.part(part), now));
    }

    /** Applies a crash of an upstream under a request or part at another router. */
    private void receiveCrash(UpstreamEnded crash, RequestTrait trait, boolean answerStarted, ProcessId sender) {
        long now = loop.nowMillis();
        UpstreamId upstream = SuspectMessages.upstream(crash);
        long atMillis = now - Math.max(0, crash.getAgoMillis());
        ProcessId observer = crash.getAgoMillis() == 0 ? sender : null;
        if (!table.upstreamCrashed(trait, new ObservedCrash(upstream, answerStarted, atMillis), observer, now)) {
            return;
        }
        received++;
        if (!trait.isShared() || crashes(trait) > 1) {
            logReceived(crash, trait, answerStarted, sender);
        }
        onCrashReported.accept(trait);
    }

    /** Logs a crash that another router reported; most prompt parts are in flight at one crash only and not logged. */
    private void logReceived(UpstreamEnded crash, RequestTrait trait, boolean answerStarted, ProcessId sender) {
        log.line("heard_of_end")
                .put(SuspectFields.name(trait), trait.toString())
                .put("upstream", crash.getUpstream())
                .put("incarnation", crash.getIncarnation())
                .put("events", answerStarted)
                .put("ago_millis", crash.getAgoMillis())
                .put("source", sender == null ? "datagram" : sender.host().value())
                .write();
    }

    /**
     * Returns the number of crashes that other routers reported.
     *
     * @return crashes since the start, counted once for each request and prompt part
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

    /**
     * Returns the number of prompt parts that were left out of reports with too many of them.
     *
     * @return parts since the start
     */
    public long partsDropped() {
        return partsDropped;
    }
}
