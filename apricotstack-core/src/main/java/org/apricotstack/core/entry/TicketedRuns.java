package org.apricotstack.core.entry;

import java.util.ArrayList;
import java.util.List;

import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.ticket.RecordedAnswer;
import org.apricotstack.core.ticket.SpendDecision;
import org.apricotstack.core.ticket.Ticket;
import org.apricotstack.core.ticket.TicketLedger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.SignalType;

/**
 * Runs requests with tickets of this process.
 *
 * <p>A run continues when its caller disconnects: the caller does not know the outcome, will send the request again
 * with the same ticket, and then gets the answer of that run.
 */
public final class TicketedRuns {

    private final TicketLedger ledger;

    /**
     * Creates an instance.
     *
     * @param ledger the tickets of this process
     */
    public TicketedRuns(TicketLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Runs a request, replays its recorded answer, or refuses it.
     *
     * @param ticket the ticket
     * @param contentDigest digest of the request
     * @param run the work, subscribed to at most once
     * @return the answer
     */
    public Flux<AttemptSignal> run(Ticket ticket, String contentDigest, Flux<AttemptSignal> run) {
        return Flux.defer(() -> {
            SpendDecision decision = ledger.spend(ticket, contentDigest);
            if (decision instanceof SpendDecision.Replay replay) {
                return Flux.fromIterable(replay.answer().signals());
            }
            if (decision instanceof SpendDecision.Refuse refuse) {
                return Flux.error(refuse.refusal().toException());
            }
            long serial = ((SpendDecision.Run) decision).serial();
            return new RecordedRun(serial).record(run);
        });
    }

    /** A run whose answer is recorded. */
    private final class RecordedRun {
        private final long serial;
        private final List<AttemptSignal> signals = new ArrayList<>();
        private long bytes;

        /** Creates the record of a run. */
        private RecordedRun(long serial) {
            this.serial = serial;
        }

        /** Runs the request detached from the caller, and records the result in the ledger. */
        private Flux<AttemptSignal> record(Flux<AttemptSignal> run) {
            return run.doOnNext(this::add)
                    .doOnError(this::failed)
                    .doOnComplete(() -> ledger.end(serial, new RecordedAnswer(List.copyOf(signals), bytes)))
                    .doFinally(end -> {
                        if (end == SignalType.CANCEL) {
                            ledger.end(serial, null);
                        }
                    })
                    .replay()
                    .autoConnect(1);
        }

        /** Records a signal. */
        private void add(AttemptSignal signal) {
            if (signal instanceof AttemptSignal.Heartbeat) {
                return;
            }
            signals.add(signal);
            bytes += signal instanceof AttemptSignal.Chunk chunk ? chunk.data().length : 1;
        }

        /** Releases the ticket if the request was certainly not run. */
        private void failed(Throwable error) {
            Refusal refusal = RefusedException.refusalOf(error, Refusal.unknown(RefusalReason.INTERNAL_ERROR));
            if (refusal.outcome() == Outcome.NOT_RUN) {
                ledger.endNotRun(serial);
            } else {
                ledger.end(serial, null);
            }
        }
    }
}
