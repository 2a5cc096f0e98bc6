package org.apricotstack.bench.trace;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotstack.bench.trace.TraceRecord.Expected;

/**
 * Generates traces: Poisson arrivals, prompt lengths in three classes, each log-uniform, shared
 * prefixes, and client accounts of unequal size.
 */
public final class TraceGenerator {

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_MAX_SHORT_TOKENSKENS = 1_000;
    private static final long MAX_SHORT_TOKENS = 4_000;
    private static final long MIN_LONG_TOKENS = 100_001;
    private static final double SHORT_SHARE = 0.8;
    private static final int SHARED_PREFIXES = 20;
    private static final int SHARED_BLOCKS = 4;
    private static final long MIN_MAX_ANSWER_TOKENSKENS = 8;
    private static final long MAX_ANSWER_TOKENS = 64;

    private final TraceOptions options;
    private final UniformRandomProvider random;
    private long freshHash = 1_000_000;

    /** Creates a generator. */
    private TraceGenerator(TraceOptions options) {
        this.options = options;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed());
    }

    /**
     * Generates a trace.
     *
     * @param options the parameters of the trace
     * @return its requests in order of arrival
     */
    public static List<TraceRecord> generate(TraceOptions options) {
        TraceGenerator generator = new TraceGenerator(options);
        List<TraceRecord> records = new ArrayList<>();
        double millis = 0;
        for (int i = 0; i < options.requests(); i++) {
            millis += -Math.log(1 - generator.random.nextDouble()) * MILLIS_PER_SECOND / options.perSecond();
            records.add(generator.next((long) millis));
        }
        return records;
    }

    /** Generates one request. */
    private TraceRecord next(long millis) {
        String account = account();
        if (random.nextDouble() < options.plainShare()) {
            long unique = freshHash++;
            return new TraceRecord(
                    millis,
                    0,
                    0,
                    List.of(unique),
                    account,
                    options.services().plainService(),
                    false,
                    0,
                    Expected.COMPLETED);
        }
        double which = random.nextDouble();
        long tokens;
        String service;
        if (which < options.longShare()) {
            tokens = logUniform(MIN_LONG_TOKENS, options.maxTokens());
            service = options.services().longService();
        } else if (which < options.longShare() + SHORT_SHARE) {
            tokens = logUniform(MIN_MAX_SHORT_TOKENSKENS, MAX_SHORT_TOKENS);
            service = options.services().shortService();
        } else {
            tokens = logUniform(MAX_SHORT_TOKENS + 1, MIN_LONG_TOKENS - 1);
            service = options.services().mediumService();
        }
        long answer = logUniform(MIN_MAX_ANSWER_TOKENSKENS, MAX_ANSWER_TOKENS);
        return new TraceRecord(millis, tokens, answer, hashIds(tokens), account, service, true, 0, Expected.COMPLETED);
    }

    /** Draws a log-uniform number. */
    private long logUniform(long from, long to) {
        return Math.round(from * Math.pow((double) to / from, random.nextDouble()));
    }

    /** Draws a client account; each has about half the traffic of the previous one. */
    private String account() {
        int index = 0;
        while (index < options.accounts().size() - 1 && random.nextBoolean()) {
            index++;
        }
        return options.accounts().get(index);
    }

    /** Generates the block hashes of a prompt, some with a shared prefix. */
    private List<Long> hashIds(long tokens) {
        int blocks = (int) ((tokens + TraceRecord.BLOCK_TOKENS - 1) / TraceRecord.BLOCK_TOKENS);
        List<Long> ids = new ArrayList<>(blocks);
        if (random.nextDouble() < options.sharedShare()) {
            long prefix = random.nextInt(SHARED_PREFIXES);
            for (int i = 0; i < Math.min(SHARED_BLOCKS, blocks - 1); i++) {
                ids.add(prefix * SHARED_BLOCKS + i);
            }
        }
        while (ids.size() < blocks) {
            ids.add(freshHash++);
        }
        return ids;
    }
}
