package org.apricotstack.serving.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.link.RelaySelector;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.OpenedConnection;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.ServingMetrics;

/** The links of a router to its upstreams, and what it does when they are lost and restored. */
public final class RouterLinks implements LinkListener {

    /** Connect timeout of a check, in milliseconds. */
    private static final int CHECK_TIMEOUT_MILLIS = 450;

    /** Links lost at a time after which the others are checked; a single one may be due to lost packets. */
    private static final int LOST_TO_CHECK_OTHERS = 2;

    /** Maximum number of other links that are checked. */
    private static final int MAX_CHECKS = 32;

    private final ServingLoop loop;
    private final ConnectionOpener direct;
    private final UpstreamTable upstreams;
    private final OutlierDetector outlierDetector;
    private final DecisionLog log;
    private final LinkTable table = new LinkTable();
    private final RoutedConnectionOpener opener;
    private final RelayServer server;
    private final Set<Address> tested = new HashSet<>();
    private SilentLinkHandler silentLinkHandler = upstream -> {};

    /** Gives up requests that wait on open connections of a silent link. */
    @FunctionalInterface
    public interface SilentLinkHandler {

        /**
         * Called when a silent link is found lost again.
         *
         * @param upstream the upstream
         */
        void linkSilent(Address upstream);
    }

    /**
     * Creates the links of a router that has lost none.
     *
     * @param loop the event loop
     * @param direct opens connections from this router
     * @param dataCentre the data centre of this router
     * @param peers the other routers
     * @param upstreams the known upstreams
     * @param outlierDetector forgets failures that were caused by a lost link
     * @param maxRelays maximum number of connections that are relayed for other routers at a time
     * @param log receives changes of links
     */
    public RouterLinks(
            ServingLoop loop,
            ConnectionOpener direct,
            DataCentreId dataCentre,
            PeerTable peers,
            UpstreamTable upstreams,
            OutlierDetector outlierDetector,
            int maxRelays,
            DecisionLog log) {
        this.loop = loop;
        this.direct = direct;
        this.upstreams = upstreams;
        this.outlierDetector = outlierDetector;
        this.log = log;
        this.opener = new RoutedConnectionOpener(
                loop,
                direct,
                table,
                new RelaySelector(dataCentre),
                () -> peers.alive(loop.nowMillis()),
                this::isUpstream);
        this.server = new RelayServer(
                loop,
                direct,
                table,
                this::isUpstream,
                ip -> peers.addresses().stream().anyMatch(router -> router.ip().equals(ip)),
                maxRelays);
        opener.listener(this);
    }

    /**
     * Sets the handler of silent links.
     *
     * @param handler gives up requests
     */
    public void onSilentLink(SilentLinkHandler handler) {
        silentLinkHandler = handler;
    }

    /**
     * Returns the opener of connections to upstreams.
     *
     * @return opens connections directly or through another router
     */
    public ConnectionOpener opener() {
        return opener;
    }

    /**
     * Returns the lost links.
     *
     * @return the table
     */
    public LinkTable table() {
        return table;
    }

    /**
     * Returns the server that relays connections for other routers.
     *
     * @return the server
     */
    public RelayServer server() {
        return server;
    }

    /**
     * Registers the gauges.
     *
     * @param metrics receives them
     */
    public void register(ServingMetrics metrics) {
        metrics.gauge("links.lost", table::lostCount);
        metrics.gauge("links.unreachable", table::unreachableCount);
        metrics.gauge("links.connections_through_others", opener::relayed);
        metrics.gauge("relays.open", server::open);
        metrics.gauge("relays.accepted", server::relayed);
    }

    /** Returns whether an address is one of a known upstream. */
    private boolean isUpstream(Address address) {
        return upstreams.all().stream().anyMatch(entry -> entry.address().equals(address));
    }

    @Override
    public void lost(Address upstream, Address relay, boolean silent) {
        log.line("link_lost")
                .put("address", upstream.toString())
                .put("through", relay.toString())
                .put("silent", silent)
                .put("lost", table.lostCount())
                .write();
        for (UpstreamEntry entry : upstreams.all()) {
            if (entry.address().equals(upstream)) {
                outlierDetector.succeeded(entry.id());
            }
        }
        if (tested.add(upstream)) {
            loop.schedule(table.probeIntervalMillis(), () -> probe(upstream));
        }
        if (table.lostCount() == LOST_TO_CHECK_OTHERS) {
            checkOthers();
        }
    }

    /** Checks the links to other upstreams, before requests find them lost one by one. */
    private void checkOthers() {
        List<Address> others = upstreams.all().stream()
                .map(UpstreamEntry::address)
                .filter(address -> !table.isLost(address))
                .limit(MAX_CHECKS)
                .toList();
        others.forEach(this::check);
    }

    /** Opens a connection only to see which way leads to the upstream. */
    private void check(Address upstream) {
        opener.open(upstream, CHECK_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
            if (done.isSuccess()) {
                done.getNow().channel().close();
            }
        });
    }

    /** Tests whether a lost link is back, and again later if it is not. */
    private void probe(Address upstream) {
        if (!isUpstream(upstream)) {
            table.forget(upstream);
        }
        if (!table.isLost(upstream)) {
            tested.remove(upstream);
            return;
        }
        direct.open(upstream, CHECK_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
            if (done.isSuccess()) {
                done.getNow().channel().close();
                tested.remove(upstream);
                if (table.connected(upstream)) {
                    restored(upstream);
                }
                return;
            }
            if (table.probeFailed(upstream, done.cause() instanceof ConnectTimeoutException)) {
                silentLinkHandler.linkSilent(upstream);
                if (table.lostCount() < LOST_TO_CHECK_OTHERS) {
                    checkOthers();
                }
            }
            loop.schedule(table.probeIntervalMillis(), () -> probe(upstream));
        });
    }

    @Override
    public void unreachable(Address upstream) {
        line("upstream_unreachable", upstream);
        loop.schedule(table.probeIntervalMillis(), () -> testUnreachable(upstream));
    }

    /** Tests whether some router reaches an upstream again, and again later if none does. */
    private void testUnreachable(Address upstream) {
        if (!table.isUnreachable(upstream)) {
            return;
        }
        if (!isUpstream(upstream)) {
            table.forget(upstream);
            return;
        }
        opener.test(upstream, CHECK_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
            if (done.isSuccess()) {
                done.getNow().channel().close();
                table.reached(upstream);
            } else {
                loop.schedule(table.probeIntervalMillis(), () -> testUnreachable(upstream));
            }
        });
    }

    @Override
    public void restored(Address upstream) {
        line("link_restored", upstream);
    }

    /** Logs a change of a link. */
    private void line(String event, Address upstream) {
        log.line(event)
                .put("address", upstream.toString())
                .put("lost", table.lostCount())
                .put("unreachable", table.unreachableCount())
                .write();
    }
}
