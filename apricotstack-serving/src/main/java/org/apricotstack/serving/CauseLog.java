package org.apricotstack.serving;

import java.util.function.Consumer;

import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedTrait;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.SuspectFields;

/**
 * Logs requests and prompt parts that were found to be the cause of upstream crashes.
 *
 * @param loop the event loop
 * @param log receives the lines
 */
record CauseLog(ServingLoop loop, DecisionLog log) implements Consumer<SuspectedTrait> {

    @Override
    public void accept(SuspectedTrait suspect) {
        log.line("cause_found")
                .put(SuspectFields.name(suspect.trait()), suspect.trait().toString())
                .put("ends", suspect.crashes().size())
                .put("upstreams", suspect.upstreams())
                .put("since_millis", loop.nowMillis() - suspect.sinceMillis())
                .put("served_before", suspect.servedBefore())
                .put(
                        "refused_millis",
                        suspect.trait().isShared() ? SuspectTable.FIRST_REFUSED_MILLIS : SuspectTable.REFUSED_MILLIS)
                .write();
    }
}
