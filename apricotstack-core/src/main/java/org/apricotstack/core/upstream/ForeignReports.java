package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.DataCentreId;

/**
 * The failures of one upstream that routers of other data centres reported, and whether this router's own requests
 * contradicted them.
 *
 * <p>A report is contradicted by the success of a request that was sent after its arrival, unless a request of this
 * router failed in between. Further reports from that data centre are then ignored until a request of this router fails
 * or the last contradiction is {@link #IGNORE_MILLIS} ago. If the upstream had recovered by then and fails again for
 * all, this router finds it by a failure of its own.
 */
final class ForeignReports {

    /**
     * Time after the last contradiction for which reports are ignored, in milliseconds; several times as long as the
     * longest avoidance, so that a failure that lasts is not believed again between two reports.
     */
    private static final long IGNORE_MILLIS = 10_000;

    private final Map<DataCentreId, Reports> byDataCentre = new HashMap<>();

    /** The reports of one data centre. */
    private static final class Reports {
        private long lastMillis;
        private boolean open;
        private long ignoredUntilMillis = Long.MIN_VALUE;
    }

    /**
     * Records a report.
     *
     * @return whether the upstream is to be avoided because of it
     */
    boolean reported(DataCentreId dataCentre, long nowMillis) {
        Reports reports = byDataCentre.computeIfAbsent(dataCentre, key -> new Reports());
        reports.lastMillis = nowMillis;
        reports.open = true;
        return nowMillis >= reports.ignoredUntilMillis;
    }

    /** Records the success of a request of this router. */
    void succeeded(long sentMillis, long nowMillis) {
        for (Reports reports : byDataCentre.values()) {
            if (reports.open && sentMillis >= reports.lastMillis) {
                reports.open = false;
                reports.ignoredUntilMillis = nowMillis + IGNORE_MILLIS;
            }
        }
    }

    /** Records that a request of this router failed, which confirms all reports. */
    void failed() {
        byDataCentre.clear();
    }
}
