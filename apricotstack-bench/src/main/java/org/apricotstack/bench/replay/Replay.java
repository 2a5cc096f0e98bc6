package org.apricotstack.bench.replay;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apricotstack.bench.trace.TraceRecord;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Open-loop replay: each request is sent at its time in the trace, whether or not earlier ones have completed. */
public final class Replay {

    private Replay() {}

    /**
     * Replays a trace.
     *
     * @param records its requests
     * @param caller client that sends them
     * @param speed replay speed relative to the timestamps of the trace
     * @param progress callback for each result
     * @return all results, in the order in which the requests ended
     */
    public static List<ReplayResult> run(
            List<TraceRecord> records, ReplayCaller caller, double speed, Consumer<ReplayResult> progress) {
        long start = System.nanoTime();
        return Flux.fromIterable(records)
                .index()
                .flatMap(
                        indexed -> {
                            long due = start
                                    + (long) (TimeUnit.MILLISECONDS.toNanos(
                                                    indexed.getT2().timestampMillis())
                                            / speed);
                            Duration wait = Duration.ofNanos(Math.max(0, due - System.nanoTime()));
                            return Mono.delay(wait)
                                    .then(Mono.defer(() -> caller.send(
                                            indexed.getT2(),
                                            indexed.getT1(),
                                            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due))));
                        },
                        Integer.MAX_VALUE)
                .doOnNext(progress)
                .collectList()
                .block();
    }
}
