package org.apricotstack.core.entry;

import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.failure.RefusalReason;

/** Port: whether this router accepts new requests, and under which configuration. */
public interface EntryGate {

    /**
     * Returns why new requests are refused.
     *
     * @return the reason, or {@code null} if requests are accepted
     */
    RefusalReason closedReason();

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; not {@code null} while requests are accepted
     */
    FleetConfiguration configuration();
}
