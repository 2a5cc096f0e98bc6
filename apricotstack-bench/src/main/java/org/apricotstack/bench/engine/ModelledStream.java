package org.apricotstack.bench.engine;

import java.util.List;

/** A request in an engine model. */
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
     * Creates a waiting request.
     *
     * @param name the name of the stream
     * @param promptTokens length of the prompt
     * @param outputTokens length of the answer
     * @param priority 0 for the most urgent
     * @param engines number of engines that share the prompt
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

    /** Marks the stream as admitted and skips the prefill of its cached tokens. */
    void admit(long cached) {
        admitted = true;
        cachedTokens = Math.min(cached, promptTokens - 1);
        prefilled = cachedTokens;
    }

    /**
     * Prefills a part of the prompt.
     *
     * @param budget maximum number of tokens that this engine computes
     * @return number of tokens used of the budget
     */
    long prefill(long budget) {
        long remaining = promptTokens - prefilled;
        long computed = Math.min(remaining, budget * engines);
        prefilled += computed;
        return (computed + engines - 1) / engines;
    }

    /** Generates one token and returns its index in the answer. */
    long generate() {
        return generated++;
    }

    /** Returns whether prefill is complete. */
    boolean isPrefilled() {
        return prefilled >= promptTokens;
    }

    /** Returns whether decode is complete. */
    public boolean isFinished() {
        return generated >= outputTokens;
    }

    /** Returns whether the stream holds memory. */
    boolean isAdmitted() {
        return admitted;
    }

    /**
     * Returns the name.
     *
     * @return the name of the stream
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
     * Returns the number of prompt tokens that came from the prefix cache.
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

    /** Returns the memory that the stream needs in this engine, in tokens. */
    long memoryTokens() {
        return memoryTokens;
    }

    /** Returns the fingerprints of the leading blocks. */
    List<Long> blocks() {
        return blocks;
    }
}
