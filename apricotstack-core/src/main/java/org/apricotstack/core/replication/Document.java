package org.apricotstack.core.replication;

/**
 * One published document.
 *
 * @param key its key, such as {@code accounts/weddings}
 * @param version the version of the set in which it last changed
 * @param body its published text
 */
public record Document(String key, long version, String body) {}
