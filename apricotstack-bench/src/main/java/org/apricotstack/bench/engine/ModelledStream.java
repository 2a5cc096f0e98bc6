package org.apricotstack.bench.engine;

import java.util.List;

/** One request inside a modelled engine. */
public final class ModelledStream {

    private final String name;
    private final long promptTokens;
    private final long outputTokens;
    private final int priority;
    private final long memoryTokens;
    private final int engines;
    private final List<Long> blocks;
    private long prefilled;
    private long cachedTokens;
    private long generated;
    private boolean admitted;

    /**
     * Creates a request that waits.
     *
     * @param name the name under which memory is held
     * @param promptTokens length of the prompt
     * @param outputTokens length of the answer
     * @param priority 0 for the most urgent
     * @param engines engines that share the prompt
     * @param blocks fingerprints of the leading blocks of the prompt
     */
    public ModelledStream(
            String name, long promptTokens, long outputTokens, int priority, int engines, List<Long> blocks) {
        this.name = name;
        this.promptTokens = promptTokens;
        this.outputTokens = outputTokens;
        this.priority = priority;
        this.engines = engines;
        this.memoryTokens = (promptTokens + outputTokens + engines - 1) / engines;
        this.blocks = blocks;
    }

    /** Takes memory and skips what is cached. */
    void admit(long cached) {
        admitted = true;
        cachedTokens = Math.min(cached, promptTokens - 1);
        prefilled = cachedTokens;
    }

    /**
     * Computes prompt tokens.
     *
     * @param budget tokens that this engine may compute
     * @return tokens of the budget that were used
     */
    long prefill(long budget) {
        long wanted = promptTokens - prefilled;
        long computed = Math.min(wanted, budget * engines);
        prefilled += computed;
        return (computed + engines - 1) / engines;
    }

    /** Generates one token and returns its place in the answer. */
    long generate() {
        return generated++;
    }

    /** Tells whether the whole prompt is computed. */
    boolean isPrefilled() {
        return prefilled >= promptTokens;
    }

    /** Tells whether the whole answer is generated. */
    public boolean isFinished() {
        return generated >= outputTokens;
    }

    /** Tells whether it holds memory. */
    boolean isAdmitted() {
        return admitted;
    }

    /**
     * Returns the name.
     *
     * @return the name under which memory is held
     */
    public String name() {
        return name;
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens
     */
    public long promptTokens() {
        return promptTokens;
    }

    /**
     * Returns the length of the answer.
     *
     * @return tokens
     */
    public long outputTokens() {
        return outputTokens;
    }

    /**
     * Returns the prompt tokens that were not computed again.
     *
     * @return tokens
     */
    public long cachedTokens() {
        return cachedTokens;
    }

    /** Returns the priority, 0 for the most urgent. */
    int priority() {
        return priority;
    }

    /** Returns the memory that it takes in this engine, in tokens. */
    long memoryTokens() {
        return memoryTokens;
    }

    /** Returns the fingerprints of the leading blocks. */
    List<Long> blocks() {
        return blocks;
    }
}
