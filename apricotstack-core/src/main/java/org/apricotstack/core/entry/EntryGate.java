package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.failure.RefusalReason;

/** Port: whether this router accepts new requests, and under which configuration. */
public interface EntryGate {

    /**
     * Returns why a new request is refused.
     *
     * @param request its id, for the log
     * @return the reason, or {@code null} if the request is accepted
     */
    RefusalReason closedReason(String request);

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; not {@code null} while requests are accepted
     */
    FleetConfiguration configuration();
}
