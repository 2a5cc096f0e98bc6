package org.apricotstack.serving.run;

import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;
import org.apricotstack.core.id.ClientAccountId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.route.KeyedAccount;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.ForwardingParameters;

/**
 * What does not change while a request is served.
 *
 * @param request the caller's request
 * @param route its route
 * @param account its client account, or {@code null} if it needs none
 * @param service the service that runs it
 * @param profile what is configured of the service, or {@code null} if nothing is
 * @param configurationVersion version of the configuration that decided
 * @param arrivedMillis when its line and headers had come
 * @param endMillis when its time is over
 */
record RequestFacts(
        CallerRequest request,
        Route route,
        KeyedAccount account,
        ServiceId service,
        ServiceProfile profile,
        long configurationVersion,
        long arrivedMillis,
        long endMillis) {

    /** Least urgent rank that upstreams know. */
    private static final int LAST_PRIORITY = 9;

    /** Gathers the facts of a request that just arrived. */
    static RequestFacts of(
            CallerRequest request,
            ServingConfiguration configuration,
            Route route,
            KeyedAccount account,
            long nowMillis) {
        ServiceId service = route.serviceFor(request.id());
        return new RequestFacts(
                request,
                route,
                account,
                service,
                configuration.services().get(service),
                configuration.version(),
                nowMillis,
                nowMillis + Math.min(request.timeoutMillis(), route.timeoutMillis()));
    }

    /** Tells whether model engines run it. */
    boolean runsOnEngines() {
        return profile != null && profile.engine().isPresent();
    }

    /** Returns the time that is left. */
    long remainingMillis(long nowMillis) {
        return endMillis - nowMillis;
    }

    /** Tells whether it may still wait for room. */
    boolean mayWait(double predictedMillis, long nowMillis) {
        return PromptAdmission.mayWait(
                predictedMillis,
                nowMillis - arrivedMillis,
                TimeoutPolicy.patienceMillis(route),
                remainingMillis(nowMillis));
    }

    /** Tells whether it may wait for another attempt of the same request: half of its time is left for its own. */
    boolean mayWaitForTrial(long nowMillis) {
        boolean halfLeft = remainingMillis(nowMillis) > (endMillis - arrivedMillis) / 2;
        return halfLeft && (!runsOnEngines() || mayWait(0, nowMillis));
    }

    /** Returns what its placement on engines depends on. */
    PromptRequest prompt(long nowMillis, boolean answerStarted) {
        EngineProfile engine = profile.engine().orElseThrow();
        long waited = nowMillis - arrivedMillis;
        long answerTokens = request.maxAnswerTokens() > 0 ? request.maxAnswerTokens() : engine.meanAnswerTokens();
        return new PromptRequest(
                request.promptTokens(),
                answerTokens,
                Math.max(1, route.targetLatencyMillis() - waited),
                route.tokenGapTargetMillis(),
                Math.min(
                        remainingMillis(nowMillis), TimeoutPolicy.patienceMillis(route) - (answerStarted ? 0 : waited)),
                answerStarted ? 0 : waited);
    }

    /** Returns the silence after which another upstream is tried, in milliseconds; 0 if none may be. */
    long silenceMillis(UpstreamChoice choice, long nowMillis) {
        if (!route.idempotent()) {
            return 0;
        }
        return route.kind() == RequestKind.STREAMING
                ? TimeoutPolicy.firstEventLimitMillis(choice.predictedMillis())
                : TimeoutPolicy.answerLimitMillis(route, remainingMillis(nowMillis));
    }

    /** Returns what the upstream is told beside the caller's words. */
    ForwardingParameters forwarding(
            UpstreamChoice choice, ReservedHelpers helpers, String lastEventId, long nowMillis) {
        return new ForwardingParameters(
                choice.upstream(),
                Math.max(1, remainingMillis(nowMillis)),
                clientAccountId(),
                priority(),
                helpers.helpers(),
                lastEventId);
    }

    /** Returns the client account, or {@code null}. */
    ClientAccountId clientAccountId() {
        return account == null ? null : account.id();
    }

    /** Returns the hash that tells the request apart from those with another head or another length of the body. */
    long headDigest(int bodyBytes) {
        return RequestDigest.hashHead(
                head().method().name(), request.host(), request.target(), clientAccountId(), bodyBytes);
    }

    /** Returns the rank of the request; an account's goes before its route's. */
    private int priority() {
        int rank = account != null && account.priority() >= 0 ? account.priority() : route.priority();
        return Math.max(0, Math.min(LAST_PRIORITY, rank));
    }

    /** Returns the caller's id of the request, or {@code null} if it has none. */
    String echoedId() {
        return request.id().isEmpty() ? null : request.id();
    }

    /** Returns line and headers as sent by the caller. */
    HttpRequest head() {
        return request.head();
    }
}
