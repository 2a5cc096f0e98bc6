package org.apricotstack.serving.http;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.serving.observe.ConnectionCloseCause;

/** Reports the first cause for which the router closes a caller's connection. */
final class CloseReporter {

    private final ConnectionCloseObserver observer;
    private boolean reported;

    /** Creates a reporter for one connection. */
    CloseReporter(ConnectionCloseObserver observer) {
        this.observer = observer;
    }

    /**
     * Reports that the connection is about to be closed, with the id of its current request and the error that caused
     * the close, or {@code null} for each.
     */
    void report(ConnectionCloseCause cause, RequestStage stage, String requestId, Channel channel, Throwable error) {
        if (!reported) {
            reported = true;
            observer.closed(new ConnectionClose(cause, stage, requestId, ipOf(channel), error));
        }
    }

    /** Reports a message that is not processed, as the response to an earlier request closes the connection. */
    void dropped(Object message, Channel channel) {
        if (message instanceof HttpRequest) {
            report(ConnectionCloseCause.BEHIND_CLOSING_RESPONSE, RequestStage.HEAD_ARRIVING, null, channel, null);
        }
    }

    /** Returns the IP address of the caller, or an empty text once the connection is closed. */
    static String ipOf(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }
}
