package org.apricotstack.core.ratelimit;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/** What the operators specify for cold upstreams. */
@FunctionalInterface
public interface ColdRates {

    /** No bound on the requests to cold upstreams. */
    ColdRates NONE = new ColdRates() {
        @Override
        public double perSecond(UpstreamId upstream) {
            return 0;
        }

        @Override
        public boolean enabled() {
            return false;
        }
    };

    /**
     * Returns the permits per second for an upstream while it is cold.
     *
     * @param upstream the incarnation
     * @return permits per second; 0 if it has no bound
     */
    double perSecond(UpstreamId upstream);

    /**
     * Tells whether the operators set a bound on cold upstreams.
     *
     * @return whether cold upstreams are tracked
     */
    default boolean enabled() {
        return true;
    }

    /**
     * Tells whether it has to be known which upstreams of a service are cold.
     *
     * @param service the service
     * @return whether a bound applies to it, or may apply while its configuration is not known yet
     */
    default boolean tracks(ServiceId service) {
        return enabled();
    }

    /**
     * Returns the time for which an upstream of a service is cold after its start.
     *
     * @param service the service
     * @return milliseconds; 0 if it never is
     */
    default long startMillis(ServiceId service) {
        return 0;
    }
}
