package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.failure.RefusalReason;

/** Port: whether this router accepts new requests, and under which configuration. */
public interface EntryGate {

    /**
     * Returns why all new requests are refused.
     *
     * @return the reason, or {@code null} if requests are accepted
     */
    RefusalReason closedReason();

    /**
     * Returns why a request is refused because this router is stopping.
     *
     * @param request its id, for the log
     * @param timeLimitMillis the time by which it has ended, in milliseconds from now
     * @return the reason, or {@code null} if the request is accepted
     */
    RefusalReason stoppingReason(String request, long timeLimitMillis);

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; not {@code null} while requests are accepted
     */
    FleetConfiguration configuration();
}
