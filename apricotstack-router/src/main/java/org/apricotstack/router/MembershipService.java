package org.apricotstack.router;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.MemberRecord;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.MembershipTable;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.apricotstack.core.membership.ProbeExchange;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.membership.ServingHosts;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.time.MonotonicClock;

/** Keeps the picture of the routers, and makes and takes what probes carry. */
final class MembershipService implements ProbeExchange {

    /** Statements that one message carries at most, so that its size does not grow with the fleet. */
    private static final int STATEMENTS = 8;

    private final ProcessId self;
    private final MembershipTable table;
    private final Supplier<Roster> rosters;
    private final Supplier<Map<ReplicationTopic, Long>> versions;
    private final BiConsumer<HostId, Map<ReplicationTopic, Long>> versionsHeard;
    private final MonotonicClock clock;
    private final ServingHosts serving = new ServingHosts();
    private MemberView view;
    private long viewOfTable = -1;
    private long viewOfRoster = -1;
    private long revision;
    private long askingTurns;

    /**
     * Creates the service.
     *
     * @param self this process
     * @param table what is believed of the routers
     * @param rosters the roster in force
     * @param versions versions in force here, empty while this router does not serve
     * @param versionsHeard takes the versions of a peer
     * @param clock the local clock
     */
    MembershipService(
            ProcessId self,
            MembershipTable table,
            Supplier<Roster> rosters,
            Supplier<Map<ReplicationTopic, Long>> versions,
            BiConsumer<HostId, Map<ReplicationTopic, Long>> versionsHeard,
            MonotonicClock clock) {
        this.self = self;
        this.table = table;
        this.rosters = rosters;
        this.versions = versions;
        this.versionsHeard = versionsHeard;
        this.clock = clock;
    }

    /** Returns the current picture; it is built again only when something has changed. */
    synchronized MemberView view() {
        Roster roster = rosters.get();
        if (view == null || viewOfTable != table.revision() || viewOfRoster != roster.version()) {
            if (viewOfRoster != roster.version()) {
                table.retain(roster.routers().keySet());
                serving.retain(roster.routers().keySet());
            }
            viewOfTable = table.revision();
            viewOfRoster = roster.version();
            view = MemberView.of(++revision, roster, table);
        }
        return view;
    }

    /** Tells whether a router is known to serve: this one by itself, another one by its own word. */
    boolean isKnownToServe(HostId host) {
        if (host.equals(self.host())) {
            return !versions.get().isEmpty();
        }
        return serving.serves(host, table.incarnation(host));
    }

    /** Picks routers that have not yet said that they serve. */
    synchronized List<RosterHost> toAskWhetherTheyServe(int most) {
        return serving.unconfirmed(view(), table, askingTurns++, most).stream()
                .filter(host -> !host.id().equals(self.host()))
                .toList();
    }

    @Override
    public ProbePayload payload() {
        return new ProbePayload(self, table.gossip(STATEMENTS), new EnumMap<>(versions.get()));
    }

    @Override
    public void receive(ProbeAnswer answer) {
        receive(answer.payload());
    }

    @Override
    public void receive(ProbePayload news) {
        long now = clock.millis();
        table.recordAlive(news.sender(), now);
        serving.recordStatus(news.sender(), !news.versions().isEmpty());
        for (MemberRecord record : news.members()) {
            table.merge(record, now);
        }
        versionsHeard.accept(news.sender().host(), news.versions());
    }
}
