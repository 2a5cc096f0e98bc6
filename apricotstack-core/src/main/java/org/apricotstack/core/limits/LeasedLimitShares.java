package org.apricotstack.core.limits;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * Holds the shares that this router leased from the homes of the limits.
 *
 * <p>A router uses its equal part of what is never lent, and its lease. If the home of an account has not answered
 * for two lease times, the router takes its equal part of the whole limit instead: the home then no longer lends
 * that part, since it does not see this router either, and every lease from before has ended.
 */
public final class LeasedLimitShares implements LimitShares {

    private final Map<ClientAccountId, HeldLease> leases = new ConcurrentHashMap<>();
    private final IntSupplier rosterSize;
    private final MonotonicClock clock;

    /**
     * Creates a holder without leases.
     *
     * @param rosterSize routers on the roster
     * @param clock the local clock
     */
    public LeasedLimitShares(IntSupplier rosterSize, MonotonicClock clock) {
        this.rosterSize = rosterSize;
        this.clock = clock;
    }

    /**
     * Notes that a lease is asked for.
     *
     * @param account the client account
     * @return when, in milliseconds of the local clock; a grant counts from then
     */
    public long leaseRequested(ClientAccountId account) {
        long now = clock.millis();
        leases.putIfAbsent(account, new HeldLease(0, now, now));
        return now;
    }

    /**
     * Takes a granted lease.
     *
     * @param account the client account
     * @param share the share granted
     * @param requestedAtMillis when it was asked for
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
     * Forgets accounts that have had no traffic, so that memory follows the traffic.
     *
     * @param idle the client accounts
     */
    public void forget(Collection<ClientAccountId> idleAccounts) {
        leases.keySet().removeAll(idleAccounts);
    }

    /**
     * Returns the accounts of which leases are held.
     *
     * @return client accounts
     */
    public Set<ClientAccountId> leasedAccounts() {
        return Set.copyOf(leases.keySet());
    }

    /**
     * A lease as this router holds it.
     *
     * @param share the share
     * @param untilMillis when it ends, in the local clock
     * @param repliedMillis when the home answered last, or was asked first
     */
    private record HeldLease(double share, long untilMillis, long repliedMillis) {}
}
