package org.apricotstack.core.suspect;

/** A property of requests that may crash the upstreams that run them; crashes are counted for each trait. */
public sealed interface RequestTrait permits RequestDigest, SharedTrait {

    /**
     * Returns whether requests that differ otherwise may have this trait.
     *
     * @return {@code false} if it identifies a request and its repeats
     */
    default boolean isShared() {
        return this instanceof SharedTrait;
    }
}
