package org.apricotstack.serving;

import java.util.Collection;
import java.util.List;
import java.util.stream.Collectors;

import com.google.common.base.Ascii;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublicationFollower;
import org.apricotstack.serving.publication.PublishedPart;
import org.apricotstack.serving.publication.PublishedState;

/** Logs what a router lacks in order to serve while it lacks something, and when it lacks nothing any more. */
final class ReadinessLog {

    /** Time without a part after which the first line is written, in milliseconds; later lines double it. */
    static final long FIRST_LINE_MILLIS = 1_000;

    /** Longest time between two lines, in milliseconds. */
    static final long MAX_INTERVAL_MILLIS = 8_000;

    /** Maximum length of a logged problem, in characters. */
    private static final int MAX_PROBLEM_LENGTH = 200;

    private final PublishedState state;
    private final PublicationFollower follower;
    private final PeerTable peers;
    private final DecisionLog log;
    private final long startedMillis;
    private long nextLineMillis;
    private long intervalMillis = FIRST_LINE_MILLIS;
    private boolean complete;

    /** Creates a log of a router that starts now. */
    ReadinessLog(
            PublishedState state, PublicationFollower follower, PeerTable peers, DecisionLog log, long startedMillis) {
        this.state = state;
        this.follower = follower;
        this.peers = peers;
        this.log = log;
        this.startedMillis = startedMillis;
        this.nextLineMillis = startedMillis + FIRST_LINE_MILLIS;
    }

    /** Writes a line if one is due. */
    void update(long nowMillis) {
        if (complete) {
            return;
        }
        Collection<PublishedPart> missing = PublishedPart.missing(state);
        complete = missing.isEmpty();
        if (complete) {
            log.line("serving_possible")
                    .put("after_millis", nowMillis - startedMillis)
                    .write();
        } else if (nowMillis >= nextLineMillis) {
            intervalMillis = Math.min(MAX_INTERVAL_MILLIS, 2 * intervalMillis);
            nextLineMillis = nowMillis + intervalMillis;
            write(missing, nowMillis);
        }
    }

    /** Writes what is missing, and what this router has tried. */
    private void write(Collection<PublishedPart> missing, long nowMillis) {
        List<Peer> alive = peers.alive(nowMillis);
        String problem = follower.lastProblem();
        log.line("serving_impossible")
                .put("lacks", missing.stream().map(PublishedPart::code).collect(Collectors.joining(",")))
                .put("since_millis", nowMillis - startedMillis)
                .put("platform_calls", follower.calls())
                .put("platform_faults", follower.faults())
                .put("platform_problem", problem == null ? null : Ascii.truncate(problem, MAX_PROBLEM_LENGTH, "..."))
                .put("routers_heard", alive.size())
                .put("routers_ready", alive.stream().filter(Peer::ready).count())
                .put(
                        "routers_with_configuration",
                        alive.stream()
                                .filter(peer -> peer.configurationVersion() > 0)
                                .count())
                .put(
                        "routers_with_upstreams",
                        alive.stream()
                                .filter(peer -> peer.upstreamsRevision() > 0)
                                .count())
                .write();
    }
}
