package org.apricotstack.serving.http;

import java.net.InetSocketAddress;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.apricotstack.core.id.Address;

/** Opens connections from the event loop of a router. */
public final class TcpConnectionOpener implements ConnectionOpener {

    /** Time after which a connection with unacknowledged bytes is closed, in milliseconds. */
    private static final int TCP_USER_TIMEOUT_MILLIS = 3_000;

    private final ServingLoop loop;
    private final Bootstrap bootstrap;

    /**
     * Creates an opener.
     *
     * @param loop the event loop
     */
    public TcpConnectionOpener(ServingLoop loop) {
        this.loop = loop;
        this.bootstrap = new Bootstrap()
                .group(loop.group())
                .channel(loop.clientChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true);
        if (loop.clientChannel() == EpollSocketChannel.class) {
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
        }
    }

    @Override
    public Future<OpenedConnection> open(Address address, int timeoutMillis) {
        Promise<OpenedConnection> opened = loop.loop().newPromise();
        ChannelFuture connecting = bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ReadPacing.install(channel);
                    }
                })
                .connect(new InetSocketAddress(address.ip(), address.port()));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                opened.tryFailure(done.cause());
            } else if (!opened.trySuccess(new OpenedConnection(connecting.channel(), null))) {
                connecting.channel().close();
            }
        });
        opened.addListener(done -> {
            if (done.isCancelled()) {
                connecting.cancel(false);
            }
        });
        return opened;
    }
}
