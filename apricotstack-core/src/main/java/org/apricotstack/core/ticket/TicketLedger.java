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
 * <p>A ticket is valid only while the process that issued it runs, because only that process knows whether the ticket
 * was spent. No other process ever spends it, so no partition, restart or pause can let a request run twice. After the
 * process has ended, the outcome is unknown and must be reported as such.
 *
 * <p>Unspent tickets occupy no memory: a seal proves that this process issued them. A spent ticket is recorded until it
 * expires; after that, a request with this ticket is refused with an unknown outcome, because the record may have been
 * removed.
 */
public final class TicketLedger {

    /** Maximum size of an answer that is stored for replay, in bytes. */
    static final long MAX_ANSWER_BYTES = 64L << 10;

    /** Maximum total size of the stored answers, in bytes. */
    static final long MAX_TOTAL_ANSWER_BYTES = 16L << 20;

    /** Suggested retry delay while a request with the same ticket is running, in milliseconds. */
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
     * @param validMillis time for which it may be spent, in milliseconds
     * @return the ticket
     */
    public synchronized Ticket issue(long validMillis) {
        Ticket unsealed = new Ticket(self, ++lastSerial, clock.millis() + validMillis, "");
        return new Ticket(self, unsealed.serial(), unsealed.expiresMillis(), seal(unsealed));
    }

    /**
     * Decides about a request with a ticket of this process.
     *
     * @param ticket the ticket
     * @param contentDigest digest of the request, which binds the ticket to one request
     * @return the decision
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

    /**
     * Returns whether no request with a ticket has been run.
     *
     * @param ticket the ticket
     * @return {@code false} if it was spent, or is not known here
     */
    public synchronized boolean isUnspent(Ticket ticket) {
        removeExpired();
        return isSealedHere(ticket) && clock.millis() < ticket.expiresMillis() && !spent.containsKey(ticket.serial());
    }

    /** Decides about a ticket that was already spent. */
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
     * Records that a request was not run, so that its ticket may be spent again.
     *
     * @param serial the serial number of the ticket
     */
    public synchronized void endNotRun(long serial) {
        spent.remove(serial);
    }

    /**
     * Records the end of a request that may have been run.
     *
     * @param serial the serial number of the ticket
     * @param answer its complete answer, or {@code null} if there is none
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
     * Returns the number of spent tickets that are recorded.
     *
     * @return the number
     */
    public synchronized int recordedTickets() {
        return spent.size();
    }

    /** Drops the oldest answers until the total is within its limit; their tickets stay spent. */
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

    /** Removes expired tickets whose requests are not running. */
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

        /** Creates the entry of a running request. */
        private Entry(String contentDigest, long expiresMillis) {
            this.contentDigest = contentDigest;
            this.expiresMillis = expiresMillis;
        }
    }
}
