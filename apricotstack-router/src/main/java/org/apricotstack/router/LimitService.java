package org.apricotstack.router;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.apricotstack.adapters.peer.GrpcPeerClient;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.limits.AccountLimiter;
import org.apricotstack.core.limits.LeasedLimitShares;
import org.apricotstack.core.limits.LimitLeaseIssuer;
import org.apricotstack.core.membership.MemberView;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.routing.Rendezvous;
import org.apricotstack.core.time.MonotonicClock;

/** Leases this router's shares of the limits of client accounts, and grants leases as the home of others. */
final class LimitService {

    /** Time between renewals. */
    static final Duration RENEWAL = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final HostId self;
    private final LimitLeaseIssuer home;
    private final LeasedLimitShares shares;
    private final AccountLimiter limiter;
    private final Supplier<MemberView> views;
    private final GrpcPeerClient peers;
    private final Supplier<FleetConfiguration> configuration;
    private Set<ClientAccountId> lastActive = Set.of();

    /**
     * Creates the service.
     *
     * @param self this router
     * @param shares takes granted leases
     * @param limiter tells the demand here
     * @param views the picture of the routers
     * @param peers calls the homes
     * @param clock the local clock
     * @param configuration the configuration in force
     */
    LimitService(
            HostId self,
            LeasedLimitShares shares,
            AccountLimiter limiter,
            Supplier<MemberView> views,
            GrpcPeerClient peers,
            MonotonicClock clock,
            Supplier<FleetConfiguration> configuration) {
        this.self = self;
        this.home = new LimitLeaseIssuer(clock);
        this.shares = shares;
        this.limiter = limiter;
        this.views = views;
        this.peers = peers;
        this.configuration = configuration;
    }

    /** Asks the homes of client accounts with traffic for new leases, and forgets those without. */
    void renew() {
        home.removeIdle();
        MemberView view = views.get();
        Map<ClientAccountId, Long> demand = limiter.drainDemand();
        Set<ClientAccountId> idle = new HashSet<>(shares.leasedAccounts());
        idle.removeAll(demand.keySet());
        idle.removeAll(lastActive);
        shares.forget(idle);
        lastActive = Set.copyOf(demand.keySet());
        demand.forEach((account, tokens) -> renew(view, account, tokens));
    }

    /** Asks one home. */
    private void renew(MemberView view, ClientAccountId account, long tokens) {
        List<HostId> hosts = view.usable().stream().map(RosterHost::id).toList();
        HostId homeHost = Rendezvous.first("limit/" + account, hosts);
        long askedAt = shares.leaseRequested(account);
        if (homeHost == null || homeHost.equals(self)) {
            shares.leaseGranted(account, lease(account, self, tokens), askedAt);
            return;
        }
        RosterHost target = view.roster().routers().get(homeHost);
        peers.leaseLimit(target, account, tokens)
                .timeout(RENEWAL)
                .subscribe(share -> shares.leaseGranted(account, share, askedAt), error -> {});
    }

    /** Grants a lease as the home of an account; the demand is that of one time between renewals. */
    double lease(ClientAccountId id, HostId host, long tokens) {
        FleetConfiguration current = configuration.get();
        ClientAccount account = current == null ? null : current.account(id);
        if (account == null) {
            return 0;
        }
        MemberView view = views.get();
        int roster = Math.max(1, view.roster().routers().size());
        int unseen = view.avoided().size() + view.suspects().size();
        double visible = Math.max(0, (double) (roster - unseen) / roster);
        double perSecond = (double) tokens * MILLIS_PER_SECOND / RENEWAL.toMillis();
        return home.lease(id, host, perSecond / account.tokensPerSecond(), visible);
    }
}
