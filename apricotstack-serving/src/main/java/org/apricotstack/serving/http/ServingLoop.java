package org.apricotstack.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

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
 * The one thread on which a router works; state that only this thread touches needs no locks.
 *
 * <p>Hosts have less than one core, so a second thread would gain nothing.
 */
public final class ServingLoop implements AutoCloseable {

    private final EventLoopGroup group;
    private final boolean epoll = Epoll.isAvailable();
    private final MonotonicClock clock;

    /**
     * Starts the thread.
     *
     * @param clock the clock that everything on the loop reads
     */
    public ServingLoop(MonotonicClock clock) {
        this.clock = clock;
        DefaultThreadFactory threads = new DefaultThreadFactory("serving", false);
        this.group = epoll ? new EpollEventLoopGroup(1, threads) : new NioEventLoopGroup(1, threads);
    }

    /**
     * Reads the clock.
     *
     * @return milliseconds since an arbitrary start
     */
    public long nowMillis() {
        return clock.millis();
    }

    /**
     * Runs something on the thread.
     *
     * @param task what to run
     */
    public void execute(Runnable task) {
        loop().execute(task);
    }

    /**
     * Runs something on the thread later.
     *
     * @param delayMillis the delay, in milliseconds
     * @param task what to run
     * @return cancels it
     */
    public ScheduledFuture<?> schedule(long delayMillis, Runnable task) {
        return loop().schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs something on the thread again and again.
     *
     * @param periodMillis time between two runs, in milliseconds
     * @param task what to run
     */
    public void scheduleWithFixedDelay(long periodMillis, Runnable task) {
        loop().scheduleWithFixedDelay(task, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the thread's event loop.
     *
     * @return the only loop of the group
     */
    public EventLoop loop() {
        return group.next();
    }

    /**
     * Returns the group that holds the thread.
     *
     * @return a group of one
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Returns the type of outgoing connections.
     *
     * @return a channel type that fits the group
     */
    public Class<? extends Channel> clientChannel() {
        return epoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /**
     * Returns the type of listening sockets.
     *
     * @return a channel type that fits the group
     */
    public Class<? extends ServerChannel> serverChannel() {
        return epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the type of datagram sockets.
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
