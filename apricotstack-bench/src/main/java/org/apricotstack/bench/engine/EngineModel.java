package org.apricotstack.bench.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.dispatch.PrefixIndex;

/**
 * Step model of an engine: continuous batching, chunked prefill by priority, KV memory, and a prefix cache in the
 * memory that no stream holds. It has no clock; each step returns its duration. Not thread-safe.
 */
public final class EngineModel {

    private final EngineSpeed speed;
    private final Map<String, ModelledStream> streams = new LinkedHashMap<>();
    private final Map<String, Long> reservations = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long heldTokens;

    /**
     * Creates an idle engine.
     *
     * @param speed its speed and size
     */
    public EngineModel(EngineSpeed speed) {
        this.speed = speed;
    }

    /**
     * Result of one batch step.
     *
     * @param micros its duration, in microseconds
     * @param tokens the answer tokens generated
     */
    public record Step(double micros, List<Token> tokens) {}

    /**
     * One generated token.
     *
     * @param stream the request
     * @param index its index in the answer
     */
    public record Token(ModelledStream stream, long index) {}

    /**
     * Adds a request.
     *
     * @param stream the request
     * @return whether it was accepted; a request that exceeds the memory of the engine is not
     */
    public boolean add(ModelledStream stream) {
        if (stream.memoryTokens() > speed.memoryTokens() || streams.containsKey(stream.name())) {
            return false;
        }
        streams.put(stream.name(), stream);
        return true;
    }

    /**
     * Reserves memory for a prompt that is distributed over several engines.
     *
     * @param name the name of the reservation
     * @param tokens size in tokens
     * @return whether enough memory was free
     */
    public boolean reserve(String name, long tokens) {
        if (heldTokens + tokens > speed.memoryTokens() || reservations.containsKey(name)) {
            return false;
        }
        reservations.put(name, tokens);
        heldTokens += tokens;
        trimCache();
        return true;
    }

    /**
     * Releases the stream and the reservation of a name.
     *
     * @param name the name
     * @return whether either existed
     */
    public boolean release(String name) {
        ModelledStream stream = streams.remove(name);
        if (stream != null && stream.isAdmitted()) {
            heldTokens -= stream.memoryTokens();
        }
        Long reserved = reservations.remove(name);
        if (reserved != null) {
            heldTokens -= reserved;
        }
        return stream != null || reserved != null;
    }

    /**
     * Returns whether there is any request to compute.
     *
     * @return whether the next step has work
     */
    public boolean hasWork() {
        return !streams.isEmpty();
    }

    /**
     * Computes one batch step.
     *
     * @return the result of the step
     */
    public Step step() {
        List<ModelledStream> ordered = new ArrayList<>(streams.values());
        ordered.sort(Comparator.comparingInt(ModelledStream::priority));
        ordered.forEach(this::admitIfMemoryFree);
        List<ModelledStream> decoding = ordered.stream()
                .filter(stream -> stream.isAdmitted() && stream.isPrefilled())
                .toList();
        long budget = Math.max(0, speed.stepTokens() - decoding.size());
        long prefilled = 0;
        for (ModelledStream stream : ordered) {
            if (stream.isAdmitted() && !stream.isPrefilled() && prefilled < budget) {
                prefilled += stream.prefill(budget - prefilled);
            }
        }
        List<Token> tokens = new ArrayList<>();
        for (ModelledStream stream : ordered) {
            if (stream.isAdmitted() && stream.isPrefilled()) {
                tokens.add(new Token(stream, stream.generate()));
                finishIfDone(stream);
            }
        }
        double micros = speed.stepMicros()
                + prefilled * speed.prefillMicrosPerToken()
                + tokens.size() * speed.decodeMicrosPerStream();
        return new Step(micros, tokens);
    }

    /** Allocates memory for a waiting request if enough is free, and looks up the cached prefix of its prompt. */
    private void admitIfMemoryFree(ModelledStream stream) {
        if (stream.isAdmitted() || heldTokens + stream.memoryTokens() > speed.memoryTokens()) {
            return;
        }
        heldTokens += stream.memoryTokens();
        int blocks = 0;
        while (blocks < stream.blocks().size() && cache.get(stream.blocks().get(blocks)) != null) {
            blocks++;
        }
        stream.admit((long) blocks * PrefixIndex.TOKENS_PER_FINGERPRINT);
        trimCache();
    }

    /** Removes a request whose answer is complete; the blocks of its prompt go to the cache. */
    private void finishIfDone(ModelledStream stream) {
        if (!stream.isFinished()) {
            return;
        }
        release(stream.name());
        stream.blocks().forEach(block -> cache.put(block, Boolean.TRUE));
        trimCache();
    }

    /** Evicts the least recently used blocks until the cache fits into the memory that no stream holds. */
    private void trimCache() {
        long maxBlocks = (speed.memoryTokens() - heldTokens) / PrefixIndex.TOKENS_PER_FINGERPRINT;
        var eldest = cache.keySet().iterator();
        while (cache.size() > maxBlocks && eldest.hasNext()) {
            eldest.next();
            eldest.remove();
        }
    }

    /**
     * Returns the memory held by streams and reservations.
     *
     * @return tokens
     */
    public long heldTokens() {
        return heldTokens;
    }

    /**
     * Returns the names of all streams and reservations, also of streams that wait for memory.
     *
     * @return the names
     */
    public List<String> names() {
        List<String> names = new ArrayList<>(streams.keySet());
        names.addAll(reservations.keySet());
        return names;
    }
}
