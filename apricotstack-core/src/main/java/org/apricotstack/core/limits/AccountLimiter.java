package org.apricotstack.core.limits;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.Preset;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.time.MonotonicClock;

/** Limits the token rate and the concurrent requests of each client account to this router's share. */
public final class AccountLimiter {

    /** Retry-after time of requests refused because of too many concurrent requests, in milliseconds. */
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
     * Admits or refuses a request. Each admitted request must be released with {@link #release}.
     *
     * @param account the client account's configuration
     * @param preset the preset in force
     * @param tokens prompt tokens plus the maximum number of answer tokens
     * @return the refusal, or {@code null} if the request is admitted
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
     * Releases an admitted request.
     *
     * @param account the client account
     * @param unusedTokens admitted tokens that were not used
     */
    public void release(ClientAccountId account, long unusedTokens) {
        AccountState state = accounts.get(account);
        synchronized (state) {
            state.running--;
            state.bucket.giveBack(Math.max(0, unusedTokens));
        }
    }

    /**
     * Returns the demand since the last call, so that the lease issuers can divide the limits.
     *
     * @return requested tokens, admitted or refused, of each client account with demand
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
