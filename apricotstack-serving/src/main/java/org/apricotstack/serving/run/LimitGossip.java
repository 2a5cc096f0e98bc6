package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.PermitClient;
import org.apricotstack.core.ratelimit.RateLimit;

/** Reports advertised rate limits to the other routers, and requests permits from the permit issuers. */
public interface LimitGossip extends PermitClient {

    /**
     * Reports a change of a limit.
     *
     * @param upstream the upstream that answered
     * @param change how the limit changed
     * @param limit the limit in force; if it ended, its time is when the request was sent whose answer showed the end
     */
    void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit);

    /**
     * Reports a change of a cold period that a response showed.
     *
     * @param upstream the upstream that answered
     * @param change how the cold period changed
     */
    void coldChanged(UpstreamId upstream, LimitChange change);

    /**
     * Returns the permit issuer of an upstream, according to this router's membership view.
     *
     * @param upstream the upstream
     * @return the host name, or {@code null} if there is none
     */
    String permitIssuerOf(UpstreamId upstream);
}
