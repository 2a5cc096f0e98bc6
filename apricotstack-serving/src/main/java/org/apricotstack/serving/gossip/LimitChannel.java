package org.apricotstack.serving.gossip;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.MessageLite;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.TokenBucket;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.PermitIssuerSelector;
import org.apricotstack.core.ratelimit.PermitIssuerService;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.run.LimitGossip;
import org.apricotstack.wire.news.NamedLimit;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.PermitReply;
import org.apricotstack.wire.news.PermitRequest;

/**
 * Tells the other routers of rate limits that upstreams name, and asks those that keep them for permits.
 *
 * <p>Questions and answers go in datagrams: any router can ask any other without a stream to it, and a stream that fell
 * silent holds none of them up. One that is lost costs a permit at most. Upstreams may name a new limit with each
 * answer, so the bytes are bounded: what is told of limits and what is asked have an allowance each.
 */
public final class LimitChannel implements LimitGossip {

    /** Time for an answer of a keeper, in milliseconds; data centres of a region are a few milliseconds apart. */
    private static final long ANSWER_MILLIS = 120;

    /** Bytes a second for what is told of limits, and most that add up; control has 2,000 a second for everything. */
    private static final double TOLD_BYTES_PER_SECOND = 300;

    private static final double MOST_TOLD_BYTES = 12_000;

    /** Bytes a second for questions and answers, and most that add up. */
    private static final double PERMIT_BYTES_PER_SECOND = 1_000;

    private static final double MOST_PERMIT_BYTES = 10_000;

    /** Least time between two changes of one limit that are told, in milliseconds; its keeper hears of all. */
    private static final long CHANGE_MILLIS = 500;

    /** Limits that a router is told of when a stream to it opens, those named last: some 3 kilobytes. */
    private static final int MOST_TOLD_AT_ONCE = 64;

    private final ServingLoop loop;
    private final LimitTable table;
    private final PermitIssuerService keeping;
    private final LimitPeers peers;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> news;
    private final TokenBucket told;
    private final TokenBucket permits;
    private final Map<Long, Question> open = new HashMap<>();
    private final Map<UpstreamId, Long> toldMillis = new HashMap<>();
    private long questions;
    private long unanswered;
    private long dropped;

    /**
     * A question that waits for its answer.
     *
     * @param then takes the answer
     * @param timeout ends it without one
     */
    private record Question(Consumer<PermitGrant> then, ScheduledFuture<?> timeout) {}

    /**
     * Creates a channel.
     *
     * @param loop the thread
     * @param table the limits that hold
     * @param peers the other routers
     * @param log takes what others tell
     * @param news the frame that is sent at the end of this turn of the loop
     */
    LimitChannel(
            ServingLoop loop, LimitTable table, LimitPeers peers, DecisionLog log, Supplier<NewsFrame.Builder> news) {
        this.loop = loop;
        this.table = table;
        this.peers = peers;
        this.log = log;
        this.news = news;
        this.keeping = new PermitIssuerService(peers.own(), table, peers::permitIssuerOf, loop::nowMillis);
        this.told = new TokenBucket(MOST_TOLD_BYTES, nowNanos());
        this.permits = new TokenBucket(MOST_PERMIT_BYTES, nowNanos());
    }

    /** Reads the clock. */
    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(loop.nowMillis());
    }

    /** Tells whether so many bytes may be sent to tell of limits, and counts a message that may not. */
    private boolean mayTell(MessageLite message) {
        double bytes = (double) message.getSerializedSize() * Math.max(1, peers.others());
        return counted(told.take(bytes, TOLD_BYTES_PER_SECOND, MOST_TOLD_BYTES, nowNanos()) == 0);
    }

    /** Tells whether a question or an answer may be sent, and counts one that may not. */
    private boolean maySend(MessageLite message) {
        int bytes = message.getSerializedSize();
        return counted(permits.take(bytes, PERMIT_BYTES_PER_SECOND, MOST_PERMIT_BYTES, nowNanos()) == 0);
    }

    /** Counts a message that may not be sent. */
    private boolean counted(boolean may) {
        dropped += may ? 0 : 1;
        return may;
    }

    @Override
    public void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit) {
        long now = loop.nowMillis();
        boolean ended = change == LimitChange.ENDED;
        Long lastMillis = toldMillis.get(upstream);
        if (change == LimitChange.CHANGED && lastMillis != null && now - lastMillis < CHANGE_MILLIS) {
            return;
        }
        NamedLimit message = ended
                ? LimitMessages.ended(upstream, limit.advertisedMillis(), now)
                : LimitMessages.named(upstream, limit, now);
        if (mayTell(message)) {
            toldMillis.put(upstream, now);
            peers.openStreams();
            news.get().addLimits(message);
            if (change != LimitChange.CHANGED) {
                peers.tellStandBy(NewsFrame.newBuilder().addLimits(message).build());
            }
        }
    }

    /** Tells whether any upstream is limited, of which the other routers have to hear. */
    boolean any() {
        return !table.isEmpty();
    }

    /** Adds what is known to a frame for a router that missed news. */
    void addAll(NewsFrame.Builder frame) {
        if (table.isEmpty()) {
            return;
        }
        long now = loop.nowMillis();
        table.all().entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().advertisedMillis()))
                .limit(MOST_TOLD_AT_ONCE)
                .forEach(entry -> frame.addLimits(LimitMessages.named(entry.getKey(), entry.getValue(), now)));
    }

    @Override
    public String permitIssuerOf(UpstreamId upstream) {
        PermitIssuerSelector kept = keeping.permitIssuerOf(upstream);
        return kept.host() == null ? null : kept.host().value();
    }

    @Override
    public void ask(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
        PermitIssuerSelector kept = keeping.permitIssuerOf(upstream);
        if (keeping.isThisRouter(kept)) {
            then.accept(keeping.answer(upstream, wanted, 0));
            return;
        }
        long number = ++questions;
        PermitRequest request =
                request(number, upstream, limit).setWanted(wanted).build();
        if (!send(kept, request)) {
            then.accept(null);
            return;
        }
        open.put(number, new Question(then, loop.schedule(ANSWER_MILLIS, () -> endUnanswered(number))));
    }

    @Override
    public void charge(UpstreamId upstream, RateLimit limit, int requests) {
        PermitIssuerSelector kept = keeping.permitIssuerOf(upstream);
        if (keeping.isThisRouter(kept)) {
            keeping.answer(upstream, 0, requests);
        } else {
            send(
                    kept,
                    request(++questions, upstream, limit).setCharged(requests).build());
        }
    }

    /** Begins a question. */
    private PermitRequest.Builder request(long number, UpstreamId upstream, RateLimit limit) {
        return PermitRequest.newBuilder()
                .setNumber(number)
                .setLimit(LimitMessages.named(upstream, limit, loop.nowMillis()));
    }

    /** Sends a question to a keeper, if it can be reached. */
    private boolean send(PermitIssuerSelector kept, PermitRequest request) {
        Address address = kept.host() == null ? null : peers.addressOf(kept.host());
        if (address == null || !maySend(request)) {
            return false;
        }
        peers.send(address, NewsFrame.newBuilder().addPermitRequests(request).build());
        return true;
    }

    /** Ends a question that was not answered in time. */
    private void endUnanswered(long number) {
        Question question = open.remove(number);
        if (question != null) {
            unanswered++;
            question.then().accept(null);
        }
    }

    /**
     * Takes in what another router tells, asks or answers.
     *
     * @param frame the news
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void take(NewsFrame frame, Address sender) {
        frame.getLimitsList().forEach(named -> heard(named, sender == null ? "news" : sender.toString()));
        if (sender != null) {
            frame.getPermitRequestsList().forEach(request -> answer(request, sender));
            frame.getPermitRepliesList().forEach(reply -> answered(reply, sender));
        }
    }

    /** Takes in what another router read in an answer of an upstream. */
    private void heard(NamedLimit named, String source) {
        UpstreamId upstream = LimitMessages.upstream(named);
        if (peers.isOver(upstream)) {
            return;
        }
        long now = loop.nowMillis();
        RateLimit limit = LimitMessages.limit(named, now);
        LimitChange change = named.getEnded()
                ? table.ended(upstream, limit.advertisedMillis())
                : table.reportedByPeer(upstream, limit);
        if (change != LimitChange.NONE) {
            log.line("limit_" + change.code())
                    .put("upstream", upstream.value())
                    .put("incarnation", upstream.incarnation())
                    .put("per_second", Double.toString(limit.perSecond()))
                    .put("ago_millis", named.getAgoMillis())
                    .put("source", source)
                    .put("keeper", permitIssuerOf(upstream))
                    .write();
        }
    }

    /** Answers a question. */
    private void answer(PermitRequest request, Address sender) {
        UpstreamId upstream = LimitMessages.upstream(request.getLimit());
        heard(request.getLimit(), sender.toString());
        PermitGrant grant = keeping.answer(upstream, request.getWanted(), request.getCharged());
        if (request.getWanted() == 0) {
            return;
        }
        PermitReply.Builder reply = PermitReply.newBuilder()
                .setNumber(request.getNumber())
                .setGranted(grant.permits())
                .setAgainMillis(grant.againMillis());
        long now = loop.nowMillis();
        RateLimit known = table.find(upstream);
        Long endMillis = table.endMillis(upstream);
        if (known != null && known.perSecond() != request.getLimit().getPerSecond()) {
            reply.setLimit(LimitMessages.named(upstream, known, now));
        } else if (endMillis != null) {
            reply.setLimit(LimitMessages.ended(upstream, endMillis, now));
        }
        PermitReply message = reply.build();
        if (maySend(message)) {
            peers.send(sender, NewsFrame.newBuilder().addPermitReplies(message).build());
        }
    }

    /** Takes the answer to a question. */
    private void answered(PermitReply reply, Address sender) {
        Question question = open.remove(reply.getNumber());
        if (reply.hasLimit()) {
            heard(reply.getLimit(), sender.toString());
        }
        if (question != null) {
            question.timeout().cancel(false);
            question.then().accept(new PermitGrant(reply.getGranted(), reply.getAgainMillis()));
        }
    }

    /** Forgets upstreams that are not limited any more. */
    public void expire() {
        keeping.expire();
        if (!toldMillis.isEmpty()) {
            toldMillis.keySet().removeIf(upstream -> table.find(upstream) == null);
        }
    }

    /**
     * Returns how many questions were not answered in time.
     *
     * @return questions since the start
     */
    public long unanswered() {
        return unanswered;
    }

    /**
     * Returns how many messages were not sent, as they were too many.
     *
     * @return messages since the start
     */
    public long dropped() {
        return dropped;
    }

    /**
     * Returns how many limits this router keeps for all others.
     *
     * @return upstreams
     */
    public int kept() {
        return keeping.issuedLimits();
    }
}
