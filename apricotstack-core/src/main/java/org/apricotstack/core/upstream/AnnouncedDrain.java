package org.apricotstack.core.upstream;

/**
 * A drain that an upstream announced in its responses.
 *
 * @param sinceMillis time of the first announcement known to this router
 * @param announcedMillis time of the latest response that announced it
 */
public record AnnouncedDrain(long sinceMillis, long announcedMillis) {}
