package org.apricotstack.bench.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.dispatch.PrefixIndex;

/**
 * A model of an engine in steps: continuous batching, chunked prefill by priority, KV memory, and a prefix cache in
 * the memory that no stream holds. It has no clock; each step tells how long it takes. Calls must come one at a time.
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
     * What one step did.
     *
     * @param micros how long it took, in microseconds
     * @param tokens answer tokens that it generated
     */
    public record Step(double micros, List<Token> tokens) {}

    /**
     * One generated token.
     *
     * @param stream the request
     * @param index its place in the answer
     */
    public record Token(ModelledStream stream, long index) {}

    /**
     * Adds a request.
     *
     * @param stream the request
     * @return whether it was taken; one that can never fit is not
     */
    public boolean add(ModelledStream stream) {
        if (stream.memoryTokens() > speed.memoryTokens() || streams.containsKey(stream.name())) {
            return false;
        }
        streams.put(stream.name(), stream);
        return true;
    }

    /**
     * Reserves memory for a prompt that several engines hold together.
     *
     * @param name the name under which it is held
     * @param tokens memory in tokens
     * @return whether there was room
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
     * Releases what is held under a name.
     *
     * @param name the name
     * @return whether anything was held
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
     * Tells whether a step would do anything.
     *
     * @return whether there is a request
     */
    public boolean hasWork() {
        return !streams.isEmpty();
    }

    /**
     * Computes one step.
     *
     * @return what it did
     */
    public Step step() {
        List<ModelledStream> ordered = new ArrayList<>(streams.values());
        ordered.sort(Comparator.comparingInt(ModelledStream::priority));
        ordered.forEach(this::admitIfRoom);
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

    /** Gives memory to a waiting request if there is room, and counts what is cached of its prompt. */
    private void admitIfRoom(ModelledStream stream) {
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

    /** Ends a request whose answer is whole; its prompt stays in the cache while there is room. */
    private void finishIfDone(ModelledStream stream) {
        if (!stream.isFinished()) {
            return;
        }
        release(stream.name());
        stream.blocks().forEach(block -> cache.put(block, Boolean.TRUE));
        trimCache();
    }

    /** Evicts the blocks that were not used for the longest time, down to the memory that no stream holds. */
    private void trimCache() {
        long room = (speed.memoryTokens() - heldTokens) / PrefixIndex.TOKENS_PER_FINGERPRINT;
        var eldest = cache.keySet().iterator();
        while (cache.size() > room && eldest.hasNext()) {
            eldest.next();
            eldest.remove();
        }
    }

    /**
     * Returns the memory that streams and reservations hold.
     *
     * @return tokens
     */
    public long heldTokens() {
        return heldTokens;
    }

    /**
     * Lists the names under which memory is held or wanted.
     *
     * @return names
     */
    public List<String> names() {
        List<String> names = new ArrayList<>(streams.keySet());
        names.addAll(reservations.keySet());
        return names;
    }
}
