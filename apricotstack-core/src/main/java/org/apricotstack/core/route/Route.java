package org.apricotstack.core.route;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.Hashing;
import org.apricotstack.core.id.ServiceId;

/**
 * The handling of the requests for one host name and path prefix.
 *
 * @param name name of the route in logs
 * @param host host name of the requests
 * @param prefix prefix of their paths; starts and ends with a slash
 * @param kind form of the answers, and whether requests may be retried
 * @param timeoutMillis maximum time for which a request may wait, in milliseconds
 * @param targetLatencyMillis time within which an answer, or the first event of a stream, is on time, in milliseconds
 * @param priority priority of the requests; 0 is the most urgent
 * @param services the services that may run them; at least one
 * @param maxAttempts maximum number of upstreams that one request may be sent to
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may be resumed on another upstream
 * @param tokenGapTargetMillis maximum gap between two events of a stream that is on time, in milliseconds; 0 if none
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous,
        boolean resumable,
        long tokenGapTargetMillis) {

    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Tells whether a request may run again after an earlier run.
     *
     * @return whether a second run is harmless
     */
    public boolean idempotent() {
        return kind == RequestKind.SAFE || kind == RequestKind.STREAMING && resumable;
    }

    /**
     * Tells whether requests may be sent to any upstream.
     *
     * @return {@code false} if no service has a share of the requests, or if no attempt is allowed
     */
    public boolean served() {
        return maxAttempts > 0 && totalWeight() > 0;
    }

    /** Returns the sum of the weights of all services. */
    private long totalWeight() {
        return services.stream().mapToLong(WeightedService::weight).sum();
    }

    /**
     * Chooses the service of a request by the weights of the traffic split.
     *
     * @param requestId the request's id; the same id always maps to the same service
     * @return the service; one without a share only if none has one
     */
    public ServiceId serviceFor(String requestId) {
        long totalWeight = totalWeight();
        if (services.size() == 1 || totalWeight <= 0) {
            return services.get(0).service();
        }
        long remaining = Math.floorMod(
                Hashing.murmur3_32_fixed()
                        .hashString(requestId, StandardCharsets.UTF_8)
                        .asInt(),
                totalWeight);
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(0).service();
    }
}
