package org.apricotstack.serving.relay;

import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.link.RelaySelector;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.OpenedConnection;
import org.apricotstack.serving.http.ServingLoop;

/**
 * Opens connections to upstreams directly or through another router, whichever is established first.
 *
 * <p>A direct connection gets a head start unless the link is known to be lost. If it is slow or fails, another router
 * is asked, so that the caller of this router does not wait until it is certain which of link and upstream failed.
 */
public final class RoutedConnectionOpener implements ConnectionOpener {

    /** Time for a direct connection before another router is asked, in milliseconds. */
    private static final int HEAD_START_MILLIS = 100;

    /** Time for one router to answer, in milliseconds. */
    private static final int RELAY_TIMEOUT_MILLIS = 250;

    /** Shortest time after which a direct connection that is not established shows that the link is silent. */
    private static final int SILENCE_MILLIS = 400;

    private final ServingLoop loop;
    private final ConnectionOpener direct;
    private final RelayClient relays;
    private final LinkTable links;
    private final RelaySelector selector;
    private final Supplier<List<Peer>> alivePeers;
    private final Predicate<Address> isUpstream;
    private LinkListener listener;
    private long relayed;

    /**
     * Creates an opener.
     *
     * @param loop the event loop
     * @param direct opens connections from this router
     * @param links records lost links
     * @param selector chooses other routers
     * @param alivePeers the other routers with recent heartbeats
     * @param isUpstream tells whether an address is one of a known upstream; all others are connected to directly
     */
    public RoutedConnectionOpener(
            ServingLoop loop,
            ConnectionOpener direct,
            LinkTable links,
            RelaySelector selector,
            Supplier<List<Peer>> alivePeers,
            Predicate<Address> isUpstream) {
        this.loop = loop;
        this.direct = direct;
        this.relays = new RelayClient(loop, direct);
        this.links = links;
        this.selector = selector;
        this.alivePeers = alivePeers;
        this.isUpstream = isUpstream;
    }

    /**
     * Sets the listener for changes of links.
     *
     * @param newListener the listener
     */
    public void listener(LinkListener newListener) {
        listener = newListener;
    }

    /**
     * Returns the number of connections opened through other routers.
     *
     * @return connections since the start
     */
    public long relayed() {
        return relayed;
    }

    @Override
    public Future<OpenedConnection> open(Address address, int timeoutMillis) {
        if (!isUpstream.test(address)) {
            return direct.open(address, timeoutMillis);
        }
        if (links.isUnreachable(address)) {
            return loop.loop().newFailedFuture(new ConnectTimeoutException("No router reaches " + address + " now."));
        }
        return test(address, timeoutMillis);
    }

    @Override
    public boolean takesRequests(Address relay) {
        return alivePeers.get().stream()
                .anyMatch(peer -> peer.ready() && peer.peerAddress().equals(relay));
    }

    /** Opens a connection even if the upstream was unreachable when it was last tried. */
    Future<OpenedConnection> test(Address upstream, int timeoutMillis) {
        Race race = new Race(upstream, timeoutMillis);
        race.start();
        return race.opened;
    }

    /** The attempts to open one connection. */
    private final class Race {

        private final Address upstream;
        private final int timeoutMillis;
        private final Promise<OpenedConnection> opened = loop.loop().newPromise();
        private Iterator<Address> candidates;
        private Future<OpenedConnection> directly;
        private Throwable directFailure;
        private Address usedRelay;
        private boolean relaysFailed;
        private boolean othersFailed;

        private Race(Address upstream, int timeoutMillis) {
            this.upstream = upstream;
            this.timeoutMillis = timeoutMillis;
        }

        /** Starts the first attempt. */
        private void start() {
            if (links.isLost(upstream)) {
                askOtherRouters();
            } else {
                connectDirectly();
                loop.schedule(HEAD_START_MILLIS, this::askOtherRouters);
            }
            loop.schedule(timeoutMillis, () -> opened.tryFailure(timeout()));
            opened.addListener(done -> {
                if (done.isCancelled() && directly != null) {
                    directly.cancel(false);
                }
            });
        }

        /** Returns the failure of a connection that took too long. */
        private Throwable timeout() {
            return new ConnectTimeoutException(upstream + " was not reached in " + timeoutMillis + " ms");
        }

        /** Opens a direct connection. */
        private void connectDirectly() {
            directly = direct.open(upstream, timeoutMillis);
            directly.addListener((Future<OpenedConnection> done) -> {
                if (done.isSuccess()) {
                    connectedDirectly(done.getNow());
                } else if (!done.isCancelled()) {
                    directFailed(done.cause());
                }
            });
        }

        /** Uses the direct connection if it is the first. */
        private void connectedDirectly(OpenedConnection connection) {
            if (links.connected(upstream)) {
                listener.restored(upstream);
            }
            useOrClose(connection);
        }

        /** Continues after the direct connection failed. */
        private void directFailed(Throwable cause) {
            directFailure = cause;
            if (usedRelay != null) {
                lostLink();
            } else if (relaysFailed) {
                unreachable();
            } else {
                askOtherRouters();
            }
        }

        /** Asks one router after the other for a connection, unless there is one or they are being asked. */
        private void askOtherRouters() {
            if (candidates == null && !opened.isDone()) {
                candidates =
                        selector.candidates(alivePeers.get(), loop.nowMillis()).iterator();
                askNextRouter();
            }
        }

        /** Asks the next router, if there is one. */
        private void askNextRouter() {
            if (opened.isSuccess() || opened.isCancelled()) {
                return;
            }
            if (!candidates.hasNext()) {
                allRelaysFailed();
                return;
            }
            Address relay = candidates.next();
            selector.tried(relay);
            relays.open(relay, upstream, RELAY_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
                if (done.isSuccess()) {
                    connectedThrough(done.getNow());
                } else {
                    relayFailed(relay, done.cause());
                }
            });
        }

        /** Uses the connection through another router if it is the first. */
        private void connectedThrough(OpenedConnection connection) {
            usedRelay = connection.relay();
            if (useOrClose(connection)) {
                relayed++;
            }
            if (directFailure != null) {
                lostLink();
            }
        }

        /** Continues after a router could not help. */
        private void relayFailed(Address relay, Throwable cause) {
            boolean reached = cause instanceof RelayRefusedException refused && refused.reply() != RelayReply.NO_LINK;
            if (reached) {
                othersFailed = true;
            } else {
                selector.leaveOut(relay, loop.nowMillis());
            }
            askNextRouter();
        }

        /** Continues after no router could help. */
        private void allRelaysFailed() {
            relaysFailed = true;
            if (directFailure != null) {
                unreachable();
            } else if (directly == null) {
                connectDirectly();
            }
        }

        /**
         * Fails the attempts. The upstream is remembered as unreachable if another router failed too; a refused
         * connection is not, as it costs the next one no time.
         */
        private void unreachable() {
            opened.tryFailure(directFailure);
            if (othersFailed && isSilent() && links.markUnreachable(upstream)) {
                listener.unreachable(upstream);
            }
        }

        /** Returns whether the direct connection had enough time and got no answer. */
        private boolean isSilent() {
            return directFailure instanceof ConnectTimeoutException && timeoutMillis >= SILENCE_MILLIS;
        }

        /** Hands a connection over; closes it if another one was faster. */
        private boolean useOrClose(OpenedConnection connection) {
            boolean used = opened.trySuccess(connection);
            if (!used) {
                connection.channel().close();
            }
            return used;
        }

        /** Records that only another router reaches the upstream, unless this one had too little time. */
        private void lostLink() {
            boolean timedOut = directFailure instanceof ConnectTimeoutException;
            if (timedOut && !isSilent()) {
                return;
            }
            if (links.onlyRelayed(upstream, timedOut)) {
                listener.lost(upstream, usedRelay, timedOut);
            }
        }
    }
}
