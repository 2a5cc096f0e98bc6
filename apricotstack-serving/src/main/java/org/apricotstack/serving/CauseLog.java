package org.apricotstack.serving;

import java.util.function.Consumer;

import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.suspect.SuspectedRequest;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;

/**
 * Logs requests that were found to be the cause of upstream crashes.
 *
 * @param loop the event loop
 * @param log receives the lines
 */
record CauseLog(ServingLoop loop, DecisionLog log) implements Consumer<SuspectedRequest> {

    @Override
    public void accept(SuspectedRequest suspect) {
        log.line("cause_found")
                .put("content", suspect.request().toString())
                .put("ends", suspect.crashes().size())
                .put("upstreams", suspect.upstreams())
                .put("since_millis", loop.nowMillis() - suspect.sinceMillis())
                .put("refused_millis", SuspectTable.REFUSED_MILLIS)
                .write();
    }
}
