package org.apricotstack.serving.run;

import java.util.List;

import io.netty.handler.codec.http.HttpRequest;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;
import org.apricotstack.core.id.AccountName;
import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.route.KeyedAccount;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.ForwardingParameters;

/**
 * Data of a request that stays constant while it is served.
 *
 * @param request the caller's request
 * @param route its route
 * @param account its client account, or {@code null} if none is required
 * @param service the service that runs it
 * @param profile configured profile of the service, or {@code null} if there is none
 * @param configurationVersion version of the configuration that was in force on arrival
 * @param arrivedMillis when its request line and headers were received
 * @param endMillis its deadline
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

    /** Least urgent priority that upstreams support. */
    private static final int LAST_PRIORITY = 9;

    /** Maximum number of prompt parts of one request that may be suspected. */
    private static final int MAX_PROMPT_PARTS = 64;

    /** Collects the facts of a request that just arrived. */
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

    /** Returns whether engines run the request. */
    boolean runsOnEngines() {
        return profile != null && profile.engine().isPresent();
    }

    /** Returns the time until the deadline, in milliseconds. */
    long remainingMillis(long nowMillis) {
        return endMillis - nowMillis;
    }

    /** Returns how long the request takes, by the given estimate of its longest time in milliseconds. */
    RequestDuration duration(long longestMillis, long nowMillis) {
        return new RequestDuration(longestMillis, remainingMillis(nowMillis));
    }

    /** Returns whether the request may wait longer for free capacity. */
    boolean mayWait(double predictedMillis, long nowMillis) {
        return PromptAdmission.mayWait(
                predictedMillis,
                nowMillis - arrivedMillis,
                TimeoutPolicy.patienceMillis(route),
                remainingMillis(nowMillis));
    }

    /**
     * Returns whether the request may wait for the trial of an identical request; half of its time is reserved for its
     * own attempt.
     */
    boolean mayWaitForTrial(long nowMillis) {
        boolean halfLeft = remainingMillis(nowMillis) > (endMillis - arrivedMillis) / 2;
        return halfLeft && (!runsOnEngines() || mayWait(0, nowMillis));
    }

    /** Returns the length of the longest answer in tokens; the usual length if the caller names none. */
    long answerTokens() {
        return request.maxAnswerTokens() > 0
                ? request.maxAnswerTokens()
                : profile.engine().orElseThrow().meanAnswerTokens();
    }

    /** Returns the input of the engine placer. */
    PromptRequest prompt(long nowMillis, boolean answerStarted) {
        long waited = nowMillis - arrivedMillis;
        return new PromptRequest(
                request.promptTokens(),
                answerTokens(),
                Math.max(1, route.targetLatencyMillis() - waited),
                route.tokenGapTargetMillis(),
                Math.min(
                        remainingMillis(nowMillis), TimeoutPolicy.patienceMillis(route) - (answerStarted ? 0 : waited)),
                answerStarted ? 0 : waited);
    }

    /**
     * Returns the silence after which another upstream is tried, in milliseconds; 0 if the request may not be retried.
     */
    long silenceMillis(UpstreamChoice choice, long nowMillis) {
        if (!route.idempotent()) {
            return 0;
        }
        return route.kind() == RequestKind.STREAMING
                ? TimeoutPolicy.firstEventLimitMillis(choice.predictedMillis())
                : TimeoutPolicy.answerLimitMillis(route, remainingMillis(nowMillis));
    }

    /** Returns the parameters that are sent to the upstream in addition to the caller's request. */
    ForwardingParameters forwarding(
            UpstreamChoice choice, ReservedHelpers helpers, String lastEventId, long nowMillis) {
        return new ForwardingParameters(
                choice.upstream(),
                Math.max(1, remainingMillis(nowMillis)),
                accountName(),
                priority(),
                helpers.helpers(),
                lastEventId);
    }

    /** Returns the name of the client account, or {@code null}. */
    AccountName accountName() {
        return account == null ? null : account.name();
    }

    /** Returns a hash of the request's method, host, target, account and body length. */
    long headDigest(int bodyBytes) {
        return RequestDigest.hashHead(
                head().method().name(), request.host(), request.target(), accountName(), bodyBytes);
    }

    /**
     * Returns the parts that the prompt may share with others: all but the last one, which belongs to the request or
     * its session. Only the first ones of a very long list are returned.
     */
    List<PromptPart> sharedPromptParts() {
        List<PromptPartId> all = request.promptParts();
        return all.stream()
                .limit(Math.max(0, Math.min(MAX_PROMPT_PARTS, all.size() - 1)))
                .distinct()
                .map(id -> new PromptPart(service, id))
                .toList();
    }

    /** Returns the priority of the request; that of the account overrides that of the route. */
    private int priority() {
        int rank = account != null && account.priority() >= 0 ? account.priority() : route.priority();
        return Math.max(0, Math.min(LAST_PRIORITY, rank));
    }

    /** Returns the caller's request id, or {@code null} if there is none. */
    String echoedId() {
        return request.id().isEmpty() ? null : request.id();
    }

    /**
     * Returns whether the request must be sent on a new connection: on a kept one it may be lost without a sign whether
     * it ran, and without an id its response cannot be told from that to an earlier request.
     */
    boolean needsNewConnection() {
        return !route.idempotent() || echoedId() == null;
    }

    /** Returns request line and headers as received from the caller. */
    HttpRequest head() {
        return request.head();
    }
}
