package org.apricotstack.core.limits;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.time.MonotonicClock;

/** Keeps the token rate and the number of running requests of each client account within this router's share. */
public final class AccountLimiter {

    /** When to come back after a refusal for too many running requests, in milliseconds. */
    private static final long CONCURRENCY_RETRY_MILLIS = 250;

    private final Map<ClientAccountId, AccountState> accounts = new ConcurrentHashMap<>();
    private final LimitShares shares;
    private final MonotonicClock clock;

    /**
     * Creates a limiter.
     *
     * @param shares this router's share of each limit
     * @param clock the local clock
     */
    public AccountLimiter(LimitShares shares, MonotonicClock clock) {
        this.shares = shares;
        this.clock = clock;
    }

    /**
     * Admits a request or refuses it. An admitted request must be given back with {@link #end}.
     *
     * @param account the client account as published
     * @param preset the preset in force
     * @param tokens prompt tokens and the longest answer
     * @return {@code null} if admitted, or why not
     */
    public Refusal admit(ClientAccount account, Preset preset, long tokens) {
        double share = shares.share(account.id());
        AccountState state = accounts.computeIfAbsent(
                account.id(), id -> new AccountState(new TokenBucket(account.burstTokens() * share, clock.nanos())));
        synchronized (state) {
            state.demandTokens += tokens;
            int maxConcurrent = (int) Math.max(1, Math.ceil(account.maxConcurrent() * share));
            if (state.running >= maxConcurrent) {
                return Refusal.notRun(RefusalReason.CONCURRENCY_LIMITED, CONCURRENCY_RETRY_MILLIS);
            }
            double rate = account.tokensPerSecond() * share * preset.limitFactor();
            long waitMillis = state.bucket.take(tokens, rate, account.burstTokens() * share, clock.nanos());
            if (waitMillis > 0) {
                return Refusal.notRun(RefusalReason.RATE_LIMITED, waitMillis);
            }
            state.running++;
            return null;
        }
    }

    /**
     * Ends an admitted request.
     *
     * @param account the client account
     * @param unusedTokens tokens that were admitted and not used
     */
    public void end(ClientAccountId account, long unusedTokens) {
        AccountState state = accounts.get(account);
        synchronized (state) {
            state.running--;
            state.bucket.giveBack(Math.max(0, unusedTokens));
        }
    }

    /**
     * Returns and clears the demand since the last call, so that the home of the limits can share them out.
     *
     * @return tokens asked for, admitted or not, for each client account with any
     */
    public Map<ClientAccountId, Long> drainDemand() {
        Map<ClientAccountId, Long> demand = new ConcurrentHashMap<>();
        accounts.forEach((id, state) -> {
            synchronized (state) {
                if (state.demandTokens > 0) {
                    demand.put(id, state.demandTokens);
                    state.demandTokens = 0;
                }
            }
        });
        return demand;
    }

    /** The state of one client account at this router. */
    private static final class AccountState {
        private final TokenBucket bucket;
        private int running;
        private long demandTokens;

        /** Creates the state of an account without requests. */
        private AccountState(TokenBucket bucket) {
            this.bucket = bucket;
        }
    }
}
