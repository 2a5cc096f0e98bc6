package org.apricotstack.bench.engine;

/**
 * The speed and size of a modelled engine.
 *
 * @param memoryTokens KV memory, in tokens
 * @param stepTokens maximum number of tokens that one step computes
 * @param stepMicros fixed duration of a step, without its tokens, in microseconds
 * @param prefillMicrosPerToken prefill time per prompt token, in microseconds
 * @param decodeMicrosPerStream decode time per answer token, in microseconds
 */
public record EngineSpeed(
        long memoryTokens,
        int stepTokens,
        double stepMicros,
        double prefillMicrosPerToken,
        double decodeMicrosPerStream) {

    /** An engine with memory for 400,000 tokens that prefills about 80,000 tokens per second. */
    public static final EngineSpeed DEFAULT = new EngineSpeed(400_000, 4_096, 4_000, 10, 60);

    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Returns the time to first token on an idle engine.
     *
     * @param promptTokens length of the prompt
     * @return milliseconds
     */
    public double idleFirstTokenMillis(long promptTokens) {
        double steps = Math.ceil((double) promptTokens / stepTokens);
        return (steps * stepMicros + promptTokens * prefillMicrosPerToken + decodeMicrosPerStream) / MICROS_PER_MILLI;
    }
}
