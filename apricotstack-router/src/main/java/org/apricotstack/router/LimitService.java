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

/**
 * Leases shares of client accounts' limits from their lease issuers, and issues leases for the accounts whose issuer
 * is this router.
 */
final class LimitService {

    /** Renewal interval of leases. */
    static final Duration RENEWAL = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final HostId self;
    private final LimitLeaseIssuer issuer;
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
     * @param shares receives granted leases
     * @param limiter provides the demand on this router
     * @param views the current membership view
     * @param peers calls the lease issuers
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
        this.issuer = new LimitLeaseIssuer(clock);
        this.shares = shares;
        this.limiter = limiter;
        this.views = views;
        this.peers = peers;
        this.configuration = configuration;
    }

    /** Renews the leases of client accounts with traffic, and drops those of idle accounts. */
    void renew() {
        issuer.removeIdle();
        MemberView view = views.get();
        Map<ClientAccountId, Long> demand = limiter.drainDemand();
        Set<ClientAccountId> idle = new HashSet<>(shares.leasedAccounts());
        idle.removeAll(demand.keySet());
        idle.removeAll(lastActive);
        shares.forget(idle);
        lastActive = Set.copyOf(demand.keySet());
        demand.forEach((account, tokens) -> renew(view, account, tokens));
    }

    /** Renews the lease of one account. */
    private void renew(MemberView view, ClientAccountId account, long tokens) {
        List<HostId> hosts = view.usable().stream().map(RosterHost::id).toList();
        HostId issuerHost = Rendezvous.first("limit/" + account, hosts);
        long requestedAt = shares.leaseRequested(account);
        if (issuerHost == null || issuerHost.equals(self)) {
            shares.leaseGranted(account, lease(account, self, tokens), requestedAt);
            return;
        }
        RosterHost target = view.roster().routers().get(issuerHost);
        peers.leaseLimit(target, account, tokens)
                .timeout(RENEWAL)
                .subscribe(share -> shares.leaseGranted(account, share, requestedAt), error -> {});
    }

    /** Issues a lease. The demand is in tokens per renewal interval. */
    double lease(ClientAccountId id, HostId host, long tokens) {
        FleetConfiguration current = configuration.get();
        ClientAccount account = current == null ? null : current.account(id);
        if (account == null) {
            return 0;
        }
        MemberView view = views.get();
        int rosterSize = Math.max(1, view.roster().routers().size());
        int unavailable = view.avoided().size() + view.suspects().size();
        double availableShare = Math.max(0, (double) (rosterSize - unavailable) / rosterSize);
        double perSecond = (double) tokens * MILLIS_PER_SECOND / RENEWAL.toMillis();
        return issuer.lease(id, host, perSecond / account.tokensPerSecond(), availableShare);
    }
}
