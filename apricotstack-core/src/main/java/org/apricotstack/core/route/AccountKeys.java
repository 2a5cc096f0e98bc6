package org.apricotstack.core.route;

import java.util.Map;

/**
 * The client accounts by API key.
 *
 * @param required whether requests need a key; the operators may have taken away all keys
 * @param byKey the account of each key
 */
public record AccountKeys(boolean required, Map<String, KeyedAccount> byKey) {

    /** No request needs a key. */
    public static final AccountKeys NOT_REQUIRED = new AccountKeys(false, Map.of());

    /** Copies the map. */
    public AccountKeys {
        byKey = Map.copyOf(byKey);
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
