package org.apricotstack.core.ticket;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.time.TestClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class TicketLedgerTest {

    private static final ProcessId SELF = new ProcessId(new HostId("r1"), 3);
    private static final long VALID_MILLIS = 1_000;

    private final TestClock clock = new TestClock();
    private final TicketLedger ledger = new TicketLedger(SELF, new byte[] {1, 2, 3}, clock);

    private static void assertRefused(SpendDecision decision, RefusalReason reason, Outcome outcome) {
        assertThat(decision).isInstanceOfSatisfying(SpendDecision.Refuse.class, refuse -> {
            assertThat(refuse.refusal().reason()).isEqualTo(reason);
            assertThat(refuse.refusal().outcome()).isEqualTo(outcome);
        });
    }

    @Test
    void runsOnceAndThenReplaysTheAnswer() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        assertThat(ledger.spend(ticket, "d")).isInstanceOf(SpendDecision.Run.class);
        assertRefused(ledger.spend(ticket, "d"), RefusalReason.TICKET_IN_USE, Outcome.UNKNOWN);
        RecordedAnswer answer = new RecordedAnswer(List.of(), 10);
        ledger.end(ticket.serial(), answer);
        assertThat(ledger.spend(ticket, "d")).isEqualTo(new SpendDecision.Replay(answer));
    }

    @Test
    void runsAgainOnlyIfTheRequestWasNotRun() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        ledger.spend(ticket, "d");
        ledger.endNotRun(ticket.serial());
        assertThat(ledger.spend(ticket, "d")).isInstanceOf(SpendDecision.Run.class);
        ledger.end(ticket.serial(), null);
        assertRefused(ledger.spend(ticket, "d"), RefusalReason.TICKET_SPENT, Outcome.UNKNOWN);
    }

    @Test
    void knowsWhetherATicketIsUnspent() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        assertThat(ledger.isUnspent(ticket)).isTrue();
        assertThat(new TicketLedger(SELF, new byte[] {4}, clock).isUnspent(ticket))
                .as("a ticket of another process")
                .isFalse();
        ledger.spend(ticket, "d");
        assertThat(ledger.isUnspent(ticket)).isFalse();
        ledger.endNotRun(ticket.serial());
        assertThat(ledger.isUnspent(ticket)).isTrue();
        clock.advanceMillis(VALID_MILLIS);
        assertThat(ledger.isUnspent(ticket)).isFalse();
    }

    @Test
    void reportsUnknownOutcomeAfterTheTicketHasExpired() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        ledger.spend(ticket, "d");
        ledger.end(ticket.serial(), null);
        clock.advanceMillis(VALID_MILLIS);
        assertRefused(ledger.spend(ticket, "d"), RefusalReason.TICKET_EXPIRED, Outcome.UNKNOWN);
        assertThat(ledger.recordedTickets()).isZero();
    }

    @Test
    void recordsARunThatOutlivesItsTicket() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        ledger.spend(ticket, "d");
        clock.advanceMillis(10 * VALID_MILLIS);
        assertRefused(ledger.spend(ticket, "d"), RefusalReason.TICKET_IN_USE, Outcome.UNKNOWN);
    }

    @Test
    void refusesAnotherRequestWithTheSameTicket() {
        Ticket ticket = ledger.issue(VALID_MILLIS);
        ledger.spend(ticket, "d");
        assertRefused(ledger.spend(ticket, "other"), RefusalReason.TICKET_MISMATCH, Outcome.NOT_RUN);
    }

    @ParameterizedTest
    @ValueSource(strings = {"r1/3!1!999999!00", "r1/4!1!1!", "r1/3!2!2001!ffff"})
    void refusesTicketsOfOtherIssuersAndForgedTickets(String text) {
        assertRefused(ledger.spend(Ticket.parse(text), "d"), RefusalReason.TICKET_INVALID, Outcome.NOT_RUN);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "r1/3!1!2", "r1!1!2!3", "r1/x!1!2!3", "r1/3!x!2!3", "r1/3!1!x!3", "/3!1!2!3"})
    void parsesNoTicketFromMalformedText(String text) {
        assertThat(Ticket.parse(text)).isNull();
    }

    @Test
    void limitsStoredAnswersAndKeepsTheirTicketsSpent() {
        List<Ticket> tickets = new ArrayList<>();
        RecordedAnswer answer = new RecordedAnswer(List.of(), TicketLedger.MAX_ANSWER_BYTES);
        long capacity = TicketLedger.MAX_TOTAL_ANSWER_BYTES / TicketLedger.MAX_ANSWER_BYTES;
        for (int i = 0; i <= capacity; i++) {
            Ticket ticket = ledger.issue(VALID_MILLIS);
            ledger.spend(ticket, "d");
            ledger.end(ticket.serial(), answer);
            tickets.add(ticket);
        }
        assertRefused(ledger.spend(tickets.get(0), "d"), RefusalReason.TICKET_SPENT, Outcome.UNKNOWN);
        assertThat(ledger.spend(tickets.get(1), "d")).isEqualTo(new SpendDecision.Replay(answer));
        assertThat(ledger.recordedTickets()).isEqualTo(tickets.size());
    }
}
