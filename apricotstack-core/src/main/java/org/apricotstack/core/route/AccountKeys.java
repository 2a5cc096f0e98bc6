package org.apricotstack.core.route;

import java.util.Map;

/**
 * The client accounts by API key.
 *
 * @param byKey the account of each key; empty if no request needs a key
 */
public record AccountKeys(Map<String, KeyedAccount> byKey) {

    /** Copies the map. */
    public AccountKeys {
        byKey = Map.copyOf(byKey);
    }

    /**
     * Tells whether requests need a key.
     *
     * @return whether any account has a key
     */
    public boolean required() {
        return !byKey.isEmpty();
    }

    /**
     * Finds the account of a key.
     *
     * @param key the key, or {@code null}
     * @return the account, or {@code null} if no account has the key
     */
    public KeyedAccount holder(String key) {
        return key == null ? null : byKey.get(key);
    }
}
