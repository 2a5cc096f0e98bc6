package org.apricotstack.core.limits;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * The limit shares that this router has leased from the lease issuers.
 *
 * <p>A router uses its equal share of the unleased part, plus its lease. If the issuer of an account has not replied
 * for two lease times, the router falls back to an equal share of the whole limit. By then the issuer no longer leases
 * that share, as it is not connected to this router either, and all earlier leases have expired.
 */
public final class LeasedLimitShares implements LimitShares {

    private final Map<ClientAccountId, HeldLease> leases = new ConcurrentHashMap<>();
    private final IntSupplier rosterSize;
    private final MonotonicClock clock;

    /**
     * Creates an instance without leases.
     *
     * @param rosterSize number of routers on the roster
     * @param clock the local clock
     */
    public LeasedLimitShares(IntSupplier rosterSize, MonotonicClock clock) {
        this.rosterSize = rosterSize;
        this.clock = clock;
    }

    /**
     * Records a lease request.
     *
     * @param account the client account
     * @return the time of the request, in milliseconds of the local clock, from which the lease is valid
     */
    public long leaseRequested(ClientAccountId account) {
        long now = clock.millis();
        leases.putIfAbsent(account, new HeldLease(0, now, now));
        return now;
    }

    /**
     * Records a granted lease.
     *
     * @param account the client account
     * @param share the granted share
     * @param requestedAtMillis time of the request, in milliseconds of the local clock
     */
    public void leaseGranted(ClientAccountId account, double share, long requestedAtMillis) {
        leases.put(account, new HeldLease(share, requestedAtMillis + LimitLeaseIssuer.LEASE_MILLIS, clock.millis()));
    }

    @Override
    public double share(ClientAccountId account) {
        double equalShare = 1.0 / Math.max(1, rosterSize.getAsInt());
        HeldLease held = leases.get(account);
        if (held == null) {
            return LimitLeaseIssuer.UNLEASED_SHARE * equalShare;
        }
        long now = clock.millis();
        if (now >= held.repliedMillis + 2 * LimitLeaseIssuer.LEASE_MILLIS) {
            return equalShare;
        }
        double leased = now < held.untilMillis ? held.share : 0;
        return LimitLeaseIssuer.UNLEASED_SHARE * equalShare + leased;
    }

    /**
     * Removes accounts without traffic, so that memory use is proportional to the accounts with traffic.
     *
     * @param idleAccounts the client accounts without traffic
     */
    public void forget(Collection<ClientAccountId> idleAccounts) {
        leases.keySet().removeAll(idleAccounts);
    }

    /**
     * Returns the accounts with leases.
     *
     * @return client accounts
     */
    public Set<ClientAccountId> leasedAccounts() {
        return Set.copyOf(leases.keySet());
    }

    /**
     * A lease held by this router.
     *
     * @param share the leased share
     * @param untilMillis expiry time, in milliseconds of the local clock
     * @param repliedMillis time of the issuer's last reply, or of the first request
     */
    private record HeldLease(double share, long untilMillis, long repliedMillis) {}
}
