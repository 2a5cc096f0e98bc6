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
 * Tells the other routers of requests under which upstreams end, and takes in what they tell.
 *
 * <p>An attacker may send any number of different requests each of which ends an upstream, and each end is told of all
 * requests that were in flight. So the bytes are bounded: what is told of a request under which only one upstream ended
 * yet has an allowance of its own, and is dropped first. What is dropped is counted and stays known here.
 */
public final class SuspectChannel implements SuspectGossip {

    /** Bytes a second that each of the two allowances gains; control has 2,000 a second for everything. */
    private static final double BYTES_PER_SECOND = 300;

    /** Bytes of an allowance that was not used for long: a crash of ten upstreams in a fleet of hundreds. */
    private static final double MOST_BYTES = 40_000;

    /** Requests that a router is told of when a stream to it opens, those with the most ends: some 10 kilobytes. */
    private static final int MOST_TOLD_AT_ONCE = 64;

    private final ServingLoop loop;
    private final SuspectTable table;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> news;
    private final IntSupplier receivers;
    private final TokenBucket first;
    private final TokenBucket repeated;
    private HeartbeatSender sender;
    private Consumer<RequestDigest> onCrashReported = request -> {};
    private long heard;
    private long dropped;

    /**
     * Creates a channel.
     *
     * @param loop the thread
     * @param table takes what others tell
     * @param log takes what others tell
     * @param news the frame that is sent at the end of this turn of the loop
     * @param receivers how many routers that frame is sent to
     */
    SuspectChannel(
            ServingLoop loop,
            SuspectTable table,
            DecisionLog log,
            Supplier<NewsFrame.Builder> news,
            IntSupplier receivers) {
        this.loop = loop;
        this.table = table;
        this.log = log;
        this.news = news;
        this.receivers = receivers;
        this.first = new TokenBucket(MOST_BYTES, nowNanos());
        this.repeated = new TokenBucket(MOST_BYTES, nowNanos());
    }

    /** Sets what reaches routers to which no stream is open. */
    void tellThrough(HeartbeatSender heartbeats) {
        sender = heartbeats;
    }

    /**
     * Sets what is done when another router told of an end under a request.
     *
     * @param action takes the request
     */
    public void onCrashReported(Consumer<RequestDigest> action) {
        onCrashReported = action;
    }

    /** Reads the clock. */
    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(loop.nowMillis());
    }

    /** Tells whether a message may be told now, and counts it if not. */
    private boolean mayTell(TokenBucket allowance, MessageLite message) {
        double bytes = (double) message.getSerializedSize() * Math.max(1, receivers.getAsInt());
        boolean may = allowance.take(bytes, BYTES_PER_SECOND, MOST_BYTES, nowNanos()) == 0;
        dropped += may ? 0 : 1;
        return may;
    }

    @Override
    public void upstreamCrashed(
            UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> begun, boolean isRepeated) {
        UpstreamEnded ended = SuspectMessages.ended(upstream, requests, begun);
        if (mayTell(isRepeated ? repeated : first, ended)) {
            sender.openStreams();
            news.get().addUpstreamEnded(ended);
        }
    }

    @Override
    public void broadcast(SuspectedRequest suspicion) {
        NewsFrame.Builder frame = NewsFrame.newBuilder();
        suspicion.crashes().forEach(told -> frame.addUpstreamEnded(SuspectMessages.ended(suspicion.request(), told)));
        NewsFrame built = frame.build();
        if (mayTell(repeated, built)) {
            sender.sendToStandBy(EncodedFrame.of(built));
        }
    }

    @Override
    public void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis) {
        Trial trial = SuspectMessages.trial(request, upstream, limitMillis);
        if (mayTell(first, trial)) {
            news.get().addTrials(trial);
        }
    }

    @Override
    public void trialEnded(RequestDigest request) {
        RequestHashes hashes = SuspectMessages.hashes(request);
        if (mayTell(first, hashes)) {
            news.get().addTrialsEnded(hashes);
        }
    }

    @Override
    public void served(RequestDigest request) {
        RequestHashes hashes = SuspectMessages.hashes(request);
        if (mayTell(first, hashes)) {
            news.get().addServed(hashes);
        }
    }

    /** Tells whether any request is suspected, of which the other routers have to hear. */
    boolean any() {
        return !table.isEmpty();
    }

    /** Adds what is known to a frame for a router that missed news. */
    void addAll(NewsFrame.Builder frame) {
        for (SuspectedRequest suspicion : table.list(MOST_TOLD_AT_ONCE, loop.nowMillis())) {
            suspicion
                    .crashes()
                    .forEach(told -> frame.addUpstreamEnded(SuspectMessages.ended(suspicion.request(), told)));
        }
    }

    /** Forgets what a router was trying that is gone. */
    void removeProcess(ProcessId gone) {
        table.removeProcess(gone, loop.nowMillis());
    }

    /** Takes in what another router tells; its process is {@code null} in a datagram. */
    void take(NewsFrame frame, ProcessId teller) {
        long now = loop.nowMillis();
        for (UpstreamEnded ended : frame.getUpstreamEndedList()) {
            ended.getRequestsList().forEach(hashes -> takeEnd(ended, hashes, false, teller));
            ended.getBegunList().forEach(hashes -> takeEnd(ended, hashes, true, teller));
        }
        if (teller != null) {
            for (Trial trial : frame.getTrialsList()) {
                RequestDigest request = SuspectMessages.digest(trial.getRequest());
                table.trialStarted(request, teller, SuspectMessages.upstream(trial), now + trial.getLimitMillis());
            }
            frame.getTrialsEndedList().forEach(hashes -> table.trialEnded(SuspectMessages.digest(hashes), teller, now));
        }
        frame.getServedList().forEach(hashes -> table.requestServed(SuspectMessages.digest(hashes)));
    }

    /** Takes in that an upstream ended under a request at another router. */
    private void takeEnd(UpstreamEnded ended, RequestHashes hashes, boolean begun, ProcessId teller) {
        long now = loop.nowMillis();
        RequestDigest request = SuspectMessages.digest(hashes);
        UpstreamId upstream = SuspectMessages.upstream(ended);
        long atMillis = now - Math.max(0, ended.getAgoMillis());
        ProcessId seenBy = ended.getAgoMillis() == 0 ? teller : null;
        if (!table.upstreamCrashed(request, new ObservedCrash(upstream, begun, atMillis), seenBy, now)) {
            return;
        }
        heard++;
        log.line("heard_of_end")
                .put("content", request.toString())
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("events", begun)
                .put("ago_millis", ended.getAgoMillis())
                .put("source", teller == null ? "datagram" : teller.host().value())
                .write();
        onCrashReported.accept(request);
    }

    /**
     * Returns how many ends of upstreams under requests others told of.
     *
     * @return ends since the start, one for each request
     */
    public long heard() {
        return heard;
    }

    /**
     * Returns how many messages were not told, as they were too many.
     *
     * @return messages since the start
     */
    public long dropped() {
        return dropped;
    }
}
