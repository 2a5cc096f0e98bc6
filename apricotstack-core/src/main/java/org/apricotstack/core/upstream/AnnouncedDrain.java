package org.apricotstack.core.upstream;

/**
 * A drain that an upstream announced in its answers.
 *
 * @param sinceMillis when it was first announced, as this router knows
 * @param announcedMillis when the last answer came that announced it
 */
public record AnnouncedDrain(long sinceMillis, long announcedMillis) {}
