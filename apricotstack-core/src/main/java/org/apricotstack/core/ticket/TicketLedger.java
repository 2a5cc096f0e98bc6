package org.apricotstack.core.ticket;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Issues and spends the tickets of this process.
 *
 * <p>A ticket lives and dies with the process that issued it, because only its memory knows whether the ticket was
 * spent. No other process ever spends it, so no partition, restart or pause can let a request run twice. When the
 * process is gone, the outcome is unknown, and nobody may say otherwise.
 *
 * <p>Unspent tickets take no memory: a seal proves that this process issued them. A spent ticket is remembered
 * until it expires; after that a request that brings it is refused with an unknown outcome, since the record may be
 * gone.
 */
public final class TicketLedger {

    /** Longest answer that is kept for repetition, in bytes. */
    static final long MAX_ANSWER_BYTES = 64L << 10;

    /** Memory for all kept answers, in bytes. */
    static final long MAX_TOTAL_ANSWER_BYTES = 16L << 20;

    /** When to ask again for a request that runs, in milliseconds. */
    private static final long IN_USE_RETRY_MILLIS = 500;

    private final ProcessId self;
    private final HashFunction sealFunction;
    private final MonotonicClock clock;
    private final Map<Long, Entry> spent = new LinkedHashMap<>();
    private long lastSerial;
    private long answersBytes;

    /**
     * Creates an empty ledger.
     *
     * @param self this process
     * @param key secret of this process, at least 16 random bytes
     * @param clock the local clock
     */
    public TicketLedger(ProcessId self, byte[] key, MonotonicClock clock) {
        this.self = self;
        this.sealFunction = Hashing.hmacSha256(key);
        this.clock = clock;
    }

    /**
     * Issues a ticket.
     *
     * @param validMillis how long it may be spent, in milliseconds
     * @return the ticket
     */
    public synchronized Ticket issue(long validMillis) {
        Ticket unsealed = new Ticket(self, ++lastSerial, clock.millis() + validMillis, "");
        return new Ticket(self, unsealed.serial(), unsealed.expiresMillis(), seal(unsealed));
    }

    /**
     * Decides about a request that brings a ticket of this process.
     *
     * @param ticket the ticket
     * @param contentDigest digest of the request, so that one ticket serves one request
     * @return what may happen
     */
    public synchronized SpendDecision spend(Ticket ticket, String contentDigest) {
        removeExpired();
        if (!isSealedHere(ticket)) {
            return refuse(Refusal.notRun(RefusalReason.TICKET_INVALID, 0));
        }
        Entry entry = spent.get(ticket.serial());
        if (entry != null && !entry.contentDigest.equals(contentDigest)) {
            return refuse(Refusal.notRun(RefusalReason.TICKET_MISMATCH, 0));
        }
        if (entry != null) {
            return spentBefore(entry);
        }
        if (clock.millis() >= ticket.expiresMillis()) {
            return refuse(Refusal.unknown(RefusalReason.TICKET_EXPIRED));
        }
        spent.put(ticket.serial(), new Entry(contentDigest, ticket.expiresMillis()));
        return new SpendDecision.Run(ticket.serial());
    }

    /** Decides about a ticket that was spent. */
    private static SpendDecision spentBefore(Entry entry) {
        if (entry.running) {
            return refuse(new Refusal(RefusalReason.TICKET_IN_USE, Outcome.UNKNOWN, IN_USE_RETRY_MILLIS, ""));
        }
        if (entry.answer != null) {
            return new SpendDecision.Replay(entry.answer);
        }
        return refuse(Refusal.unknown(RefusalReason.TICKET_SPENT));
    }

    /**
     * Notes that a request was not run; its ticket may be spent again.
     *
     * @param serial the ticket's number
     */
    public synchronized void endNotRun(long serial) {
        spent.remove(serial);
    }

    /**
     * Notes the end of a request that may have been run.
     *
     * @param serial the ticket's number
     * @param answer its whole answer, or {@code null} if there is none
     */
    public synchronized void end(long serial, RecordedAnswer answer) {
        Entry entry = spent.get(serial);
        if (entry == null) {
            return;
        }
        entry.running = false;
        if (answer != null && answer.bytes() <= MAX_ANSWER_BYTES) {
            entry.answer = answer;
            answersBytes += answer.bytes();
            dropOldAnswers();
        }
    }

    /**
     * Returns how many spent tickets are remembered.
     *
     * @return the number
     */
    public synchronized int recordedTickets() {
        return spent.size();
    }

    /** Drops the oldest answers over the bound; their tickets stay spent. */
    private void dropOldAnswers() {
        for (Entry entry : spent.values()) {
            if (answersBytes <= MAX_TOTAL_ANSWER_BYTES) {
                return;
            }
            if (entry.answer != null) {
                answersBytes -= entry.answer.bytes();
                entry.answer = null;
            }
        }
    }

    /** Forgets spent tickets that have expired and are not running. */
    private void removeExpired() {
        long now = clock.millis();
        spent.values().removeIf(entry -> {
            boolean expired = !entry.running && now >= entry.expiresMillis;
            if (expired && entry.answer != null) {
                answersBytes -= entry.answer.bytes();
            }
            return expired;
        });
    }

    /** Checks the seal in constant time. */
    private boolean isSealedHere(Ticket ticket) {
        byte[] expected = seal(ticket).getBytes(StandardCharsets.US_ASCII);
        byte[] given = ticket.seal().getBytes(StandardCharsets.US_ASCII);
        return self.equals(ticket.issuer()) && MessageDigest.isEqual(expected, given);
    }

    /** Computes the seal of a ticket. */
    private String seal(Ticket ticket) {
        return sealFunction
                .hashString(ticket.sealedText(), StandardCharsets.UTF_8)
                .toString();
    }

    /** Wraps a refusal. */
    private static SpendDecision refuse(Refusal refusal) {
        return new SpendDecision.Refuse(refusal);
    }

    /** A spent ticket. */
    private static final class Entry {
        private final String contentDigest;
        private final long expiresMillis;
        private boolean running = true;
        private RecordedAnswer answer;

        /** Creates the entry of a request that runs. */
        private Entry(String contentDigest, long expiresMillis) {
            this.contentDigest = contentDigest;
            this.expiresMillis = expiresMillis;
        }
    }
}
