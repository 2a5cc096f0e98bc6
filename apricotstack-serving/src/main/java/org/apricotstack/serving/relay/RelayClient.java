package org.apricotstack.serving.relay;

import java.net.ConnectException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.OpenedConnection;
import org.apricotstack.serving.http.ServingLoop;

/** Opens connections to upstreams through other routers. */
final class RelayClient {

    private final ServingLoop loop;
    private final ConnectionOpener direct;

    /** Creates a client. */
    RelayClient(ServingLoop loop, ConnectionOpener direct) {
        this.loop = loop;
        this.direct = direct;
    }

    /** Opens a connection through a router; fails with a {@link RelayRefusedException} if the router cannot help. */
    Future<OpenedConnection> open(Address relay, Address upstream, int timeoutMillis) {
        Promise<OpenedConnection> opened = loop.loop().newPromise();
        Future<OpenedConnection> connecting = direct.open(relay, timeoutMillis);
        connecting.addListener((Future<OpenedConnection> done) -> {
            if (!done.isSuccess()) {
                opened.tryFailure(new RelayRefusedException(RelayReply.NO_LINK));
                return;
            }
            Channel channel = done.getNow().channel();
            channel.pipeline().addLast(new ReplyDecoder(relay, opened));
            channel.writeAndFlush(RelayFraming.request(upstream));
            loop.schedule(timeoutMillis, () -> {
                if (opened.tryFailure(
                        new ConnectTimeoutException(relay + " did not answer in " + timeoutMillis + " ms"))) {
                    channel.close();
                }
            });
        });
        opened.addListener(done -> {
            if (done.isCancelled()) {
                connecting.cancel(false);
            }
        });
        return opened;
    }

    /** Reads the answer of the router. */
    private static final class ReplyDecoder extends ByteToMessageDecoder {

        private final Address relay;
        private final Promise<OpenedConnection> opened;

        private ReplyDecoder(Address relay, Promise<OpenedConnection> opened) {
            this.relay = relay;
            this.opened = opened;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            RelayReply reply = RelayReply.of(in.readByte());
            if (reply == RelayReply.CONNECTED && opened.trySuccess(new OpenedConnection(context.channel(), relay))) {
                context.pipeline().remove(this);
            } else {
                opened.tryFailure(new RelayRefusedException(reply));
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            opened.tryFailure(new ConnectException(relay + " closed the connection"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
