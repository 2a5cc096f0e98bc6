package org.apricotstack.core.owner;

import org.apricotstack.core.id.ProcessId;

/**
 * Memory that an engine reports as held for a stream, a reservation or an exported cache.
 *
 * @param name the name under which the engine holds it: the attempt
 * @param owner the owner process that requested it, or {@code null} if the owner cannot be parsed
 * @param ageMillis how long the engine has held it, by the engine's clock
 * @param timeLimitMillis the time limit that came with it
 */
public record HeldStream(String name, ProcessId owner, long ageMillis, long timeLimitMillis) {}
