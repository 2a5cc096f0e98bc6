package org.apricotstack.core.fleet;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.stream.AttemptSignal;

/**
 * A caller of a seeded schedule: it sends a request and, if it has a ticket, repeats the request until the outcome is
 * known.
 */
final class FleetCall {

    private static final int MAX_TRIES = 6;
    private static final long RETRY_DELAY_MILLIS = 300;

    private final SeededFleet fleet;
    private final String body;
    private final boolean ticketed;
    private final StringBuilder answer = new StringBuilder();
    private String ticket;
    private int tries;
    private int open;
    private boolean completed;
    private Refusal refusal;
    private long overtimeMillis;

    FleetCall(SeededFleet fleet, String body, boolean ticketed) {
        this.fleet = fleet;
        this.body = body;
        this.ticketed = ticketed;
    }

    /** Requests a ticket if one is needed, and sends the request. */
    void start() {
        if (ticketed) {
            FleetNode issuer = fleet.randomNode();
            ticket = issuer.entry().issueTicket(FleetConfigurations.KEY_DIGEST).toString();
        }
        send();
    }

    /** Sends the request to a random router. */
    private void send() {
        FleetNode node = fleet.randomNode();
        long sentMillis = fleet.time().now(TimeUnit.MILLISECONDS);
        answer.setLength(0);
        open++;
        tries++;
        node.timer().run(() -> node.entry()
                .submit(SeededFleet.request(body, ticket))
                .answer()
                .subscribe(
                        this::receive, error -> ended(node, sentMillis, error), () -> ended(node, sentMillis, null)));
        watchConnection(node, tries);
    }

    private void receive(AttemptSignal signal) {
        if (signal instanceof AttemptSignal.Chunk chunk) {
            answer.append(new String(chunk.data(), StandardCharsets.UTF_8));
        }
    }

    /** Records the end of one submission. */
    private void ended(FleetNode node, long sentMillis, Throwable error) {
        open--;
        long elapsedMillis = fleet.time().now(TimeUnit.MILLISECONDS) - sentMillis;
        if (!node.timer().isDead()) {
            overtimeMillis = Math.max(overtimeMillis, elapsedMillis - FleetConfigurations.LIMIT_MILLIS);
        }
        if (error == null) {
            completed = true;
            return;
        }
        refusal = ((RefusedException) error).refusal();
        if (ticketed && refusal.outcome() == Outcome.UNKNOWN && tries < MAX_TRIES) {
            fleet.time().schedule(this::send, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the request again when the router that received it has died, as if the caller's connection broke. */
    private void watchConnection(FleetNode node, int atTry) {
        fleet.time()
                .schedule(
                        () -> {
                            if (open == 0 || tries != atTry) {
                                return;
                            }
                            if (!node.timer().isDead()) {
                                watchConnection(node, atTry);
                                return;
                            }
                            open--;
                            refusal = null;
                            if (ticketed && tries < MAX_TRIES) {
                                send();
                            }
                        },
                        100,
                        TimeUnit.MILLISECONDS);
    }

    String body() {
        return body;
    }

    boolean isTicketed() {
        return ticketed;
    }

    boolean isOpen() {
        return open > 0;
    }

    boolean isCompleted() {
        return completed;
    }

    /** Tells whether the last answer to the caller was that the request was not run. */
    boolean wasReportedNotRun() {
        return !completed && refusal != null && refusal.outcome() == Outcome.NOT_RUN;
    }

    /** Returns the time by which the slowest submission exceeded its time limit; at most 0 if none did. */
    long overtimeMillis() {
        return overtimeMillis;
    }

    String answer() {
        return answer.toString();
    }

    /** Returns the correct answer. */
    String expectedAnswer() {
        StringBuilder expectedAnswer = new StringBuilder();
        for (int i = 0; i < LedgerUpstreams.CHUNKS; i++) {
            expectedAnswer.append(LedgerUpstreams.chunk(body, i));
        }
        return expectedAnswer.toString();
    }

    Refusal refusal() {
        return refusal;
    }
}
