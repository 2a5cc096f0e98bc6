package org.apricotstack.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.apricotstack.core.time.MonotonicClock;

/**
 * The event loop of a router. Its only thread does all work, so that state that only this thread uses needs no locks.
 *
 * <p>Hosts have less than one core, so a second thread would gain nothing.
 */
public final class ServingLoop implements AutoCloseable {

    private final EventLoopGroup group;
    private final boolean epoll = Epoll.isAvailable();
    private final MonotonicClock clock;
    private volatile Consumer<Throwable> failureHandler = failure -> {};

    /**
     * Starts the event loop.
     *
     * @param clock the clock of all code on the loop
     */
    public ServingLoop(MonotonicClock clock) {
        this(clock, newGroup());
    }

    /**
     * Uses an event loop, whose timers have to agree with the clock.
     *
     * @param clock the clock of all code on the loop
     * @param group a group with one thread
     */
    public ServingLoop(MonotonicClock clock, EventLoopGroup group) {
        this.clock = clock;
        this.group = group;
    }

    /** Starts a group with one thread. */
    private static EventLoopGroup newGroup() {
        DefaultThreadFactory threads = new DefaultThreadFactory("serving", false);
        return Epoll.isAvailable() ? new EpollEventLoopGroup(1, threads) : new NioEventLoopGroup(1, threads);
    }

    /**
     * Sets the handler of what tasks and callbacks throw.
     *
     * @param handler receives each exception and error, on the loop; must not throw
     */
    public void onTaskFailure(Consumer<Throwable> handler) {
        failureHandler = handler;
    }

    /**
     * Returns the time of the clock.
     *
     * @return milliseconds since an arbitrary start
     */
    public long nowMillis() {
        return clock.millis();
    }

    /**
     * Runs a task on the loop.
     *
     * @param task the task
     */
    public void execute(Runnable task) {
        loop().execute(() -> run(task));
    }

    /**
     * Runs a task on the loop after a delay.
     *
     * @param delayMillis the delay, in milliseconds
     * @param task the task
     * @return a handle to cancel the task
     */
    public ScheduledFuture<?> schedule(long delayMillis, Runnable task) {
        return loop().schedule(() -> run(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task on the loop repeatedly, also after a run that failed.
     *
     * @param periodMillis delay between the end of a run and the start of the next, in milliseconds
     * @param task the task
     */
    public void scheduleWithFixedDelay(long periodMillis, Runnable task) {
        loop().scheduleWithFixedDelay(() -> run(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task now, and reports what it throws, which Netty would keep in a future that nobody reads.
     *
     * <p>The loop goes on after errors, too. The memory and stack that a task used are free once it has failed, whereas
     * a process that ended for an {@link OutOfMemoryError} would end again at each start if a document caused it.
     *
     * @param task the task
     */
    public void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            taskFailed(e);
        }
    }

    /**
     * Reports what ended a task or a callback.
     *
     * @param failure the exception or error
     */
    public void taskFailed(Throwable failure) {
        failureHandler.accept(failure);
    }

    /**
     * Returns the Netty event loop.
     *
     * @return the only loop of the group
     */
    public EventLoop loop() {
        return group.next();
    }

    /**
     * Returns the Netty event loop group.
     *
     * @return a group with one thread
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Returns the channel type for outgoing connections.
     *
     * @return a channel type that fits the group
     */
    public Class<? extends Channel> clientChannel() {
        return epoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /**
     * Returns the channel type for listening sockets.
     *
     * @return a channel type that fits the group
     */
    public Class<? extends ServerChannel> serverChannel() {
        return epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the channel type for datagram sockets.
     *
     * @return a channel type that fits the group
     */
    public Class<? extends Channel> datagramChannel() {
        return epoll ? EpollDatagramChannel.class : NioDatagramChannel.class;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
}
