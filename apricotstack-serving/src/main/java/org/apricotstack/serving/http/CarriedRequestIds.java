package org.apricotstack.serving.http;

/**
 * Ids of the last requests on one connection, as hash codes. A response to an earlier request with the same id cannot
 * be told from that to a later one. Two ids with one hash code only cost the later request a new connection.
 */
final class CarriedRequestIds {

    /** Number of requests whose ids are known; a late response follows its request closely. */
    static final int MAX_IDS = 64;

    private final int[] hashes = new int[MAX_IDS];
    private int count;

    /** Records the id of a request. */
    void add(String id) {
        hashes[count % MAX_IDS] = id.hashCode();
        count++;
    }

    /** Returns whether one of the last requests may have had an id. */
    boolean mayContain(String id) {
        int hash = id.hashCode();
        for (int i = 0; i < Math.min(count, MAX_IDS); i++) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }
}
