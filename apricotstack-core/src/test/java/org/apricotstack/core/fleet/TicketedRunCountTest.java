package org.apricotstack.core.fleet;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.HostId;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a router that ends while it runs a request for which none of its own callers waits. */
class TicketedRunCountTest {

    private static final String BODY = "call";
    private static final int MAX_STEPS = 500;

    private final SeededFleet fleet = new SeededFleet(1);
    private final FleetNode issuer = fleet.node(new HostId("r0"));
    private final FleetNode other = fleet.node(new HostId("r1"));
    private final String ticket =
            issuer.entry().issueTicket(FleetConfigurations.KEY_DIGEST).toString();

    private Disposable send(FleetNode node) {
        return node.entry().submit(SeededFleet.request(BODY, ticket)).answer().subscribe(signal -> {}, error -> {});
    }

    private void advanceUntilTheUpstreamRuns() {
        for (int step = 0; step < MAX_STEPS && fleet.upstreams().runs(BODY) == 0; step++) {
            fleet.time().advanceTimeBy(Duration.ofMillis(1));
        }
        assertThat(fleet.upstreams().runs(BODY)).isEqualTo(1);
    }

    private void checkThatTheRunCountsUntilItsEnd() {
        assertThat(issuer.entry().ticketedRuns()).isEqualTo(1);
        fleet.time().advanceTimeBy(LedgerUpstreams.longestLimit());
        assertThat(issuer.entry().ticketedRuns()).isZero();
        assertThat(issuer.entry().active()).isZero();
    }

    @Test
    void countsARequestThatAnotherRouterForwarded() {
        send(other);
        advanceUntilTheUpstreamRuns();
        checkThatTheRunCountsUntilItsEnd();
    }

    @Test
    void refusesAForwardedRequestWithUnknownOutcomeIfItsIssuerTakesNoMoreRequests() {
        issuer.stop();
        AtomicReference<Throwable> failure = new AtomicReference<>();
        other.entry().submit(SeededFleet.request(BODY, ticket)).answer().subscribe(signal -> {}, failure::set);
        fleet.time().advanceTimeBy(LedgerUpstreams.longestLimit());
        assertThat(((RefusedException) failure.get()).refusal())
                .isEqualTo(Refusal.unknown(RefusalReason.TICKET_HOME_LOST));
        assertThat(fleet.upstreams().runs(BODY)).isZero();
    }

    private Refusal refusalOf(FleetNode node) {
        AtomicReference<Throwable> failure = new AtomicReference<>();
        node.entry().submit(SeededFleet.request(BODY, ticket)).answer().subscribe(signal -> {}, failure::set);
        fleet.time().advanceTimeBy(LedgerUpstreams.longestLimit());
        return ((RefusedException) failure.get()).refusal();
    }

    /** Guards against a caller that is told that a call was not run though an earlier try with its ticket was. */
    @Test
    void refusesARepeatWithUnknownOutcomeWhileItStops() {
        send(issuer);
        advanceUntilTheUpstreamRuns();
        issuer.stop();
        assertThat(refusalOf(issuer)).satisfies(refusal -> {
            assertThat(refusal.reason()).isEqualTo(RefusalReason.STOPPING);
            assertThat(refusal.outcome()).isEqualTo(Outcome.UNKNOWN);
        });
        other.stop();
        assertThat(refusalOf(other).outcome())
                .as("at a router that did not issue the ticket")
                .isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void refusesTheFirstTryWithATicketAsNotRunWhileItStops() {
        issuer.stop();
        assertThat(refusalOf(issuer).outcome()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void countsARequestWhoseCallerDisconnected() {
        Disposable answer = send(issuer);
        advanceUntilTheUpstreamRuns();
        answer.dispose();
        checkThatTheRunCountsUntilItsEnd();
    }
}
