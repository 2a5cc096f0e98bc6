package org.apricotstack.serving.gossip;

import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.apricotstack.serving.http.ServingLoop;

/** An event loop whose time passes only when a test says so. */
final class VirtualTime {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ServingLoop loop = new ServingLoop(this::nanos, channel.eventLoop());
    private long nowMillis;

    VirtualTime() {
        channel.freezeTime();
        loop.onTaskFailure(failure -> {
            throw new AssertionError(failure);
        });
    }

    private long nanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    ServingLoop loop() {
        return loop;
    }

    /** Moves the clock and runs what is due; a process that was frozen meanwhile finds all its timers due at once. */
    void advanceTo(long millis) {
        channel.advanceTimeBy(millis - nowMillis, TimeUnit.MILLISECONDS);
        nowMillis = millis;
        channel.runPendingTasks();
    }
}
