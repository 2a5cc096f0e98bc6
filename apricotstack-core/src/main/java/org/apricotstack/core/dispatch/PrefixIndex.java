package org.apricotstack.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which prompt prefixes an engine probably has in its KV cache.
 *
 * <p>The index is a hint, as engines do not report evictions in time. A wrong hint costs a prefill, never a wrong
 * answer. Its size is bounded; each entry is a fingerprint of a whole prefix, so a prompt of a million tokens takes as
 * many entries as it has fingerprints, not as it has tokens.
 */
public final class PrefixIndex {

    /** Prompt tokens covered by each fingerprint beyond the previous one. */
    public static final int TOKENS_PER_FINGERPRINT = 512;

    /** Maximum number of prefixes that are tracked for one engine. */
    private static final int CAPACITY = 4_096;

    private final Map<Long, Boolean> held = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > CAPACITY;
        }
    };

    /**
     * Records that the engine has computed a prompt.
     *
     * @param fingerprints its fingerprints
     */
    public void add(List<Long> fingerprints) {
        fingerprints.forEach(fingerprint -> held.put(fingerprint, Boolean.TRUE));
    }

    /**
     * Corrects the index by the number of cached tokens that the engine reported.
     *
     * @param fingerprints fingerprints of a prompt
     * @param cachedTokens tokens that the engine did not have to compute again
     */
    public void correct(List<Long> fingerprints, long cachedTokens) {
        int heldBlocks = (int) Math.min(fingerprints.size(), cachedTokens / TOKENS_PER_FINGERPRINT);
        for (int i = heldBlocks; i < fingerprints.size(); i++) {
            held.remove(fingerprints.get(i));
        }
    }

    /**
     * Estimates how many tokens of a prompt the engine has cached.
     *
     * @param fingerprints its fingerprints, shortest prefix first
     * @return tokens
     */
    public long heldTokens(List<Long> fingerprints) {
        int blocks = 0;
        while (blocks < fingerprints.size() && held.containsKey(fingerprints.get(blocks))) {
            blocks++;
        }
        return (long) blocks * TOKENS_PER_FINGERPRINT;
    }
}
