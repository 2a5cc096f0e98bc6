package org.apricotstack.serving.run;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.route.KeyedAccount;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.http.CallerExchange;
import org.apricotstack.serving.http.CallerHandler;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.CallerRequestListener;
import org.apricotstack.serving.http.DiscardingRequestListener;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.RefusalCause;

/** Checks requests against the configuration and starts their runs. */
public final class RequestDispatcher implements CallerHandler {

    /**
     * Retry-after for callers while no configuration is loaded, in milliseconds: the time of two reads from the
     * platform.
     */
    private static final long CONFIGURATION_MILLIS = 300;

    /** End of the response text for a request that no upstream has run or will run. */
    private static final String NOT_RUN = " not_run";

    /** End of the response text for a request that may have run. */
    private static final String MAY_HAVE_RUN = " may_have_run";

    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final SuspectGate gate;
    private final UpstreamGates gates;
    private final Set<RequestRun> running = new HashSet<>();

    /**
     * Creates a dispatcher.
     *
     * @param context what the runs share
     */
    public RequestDispatcher(ServingContext context) {
        this.context = context;
        this.gate = new SuspectGate(context, this::recheckSuspicion);
        this.gates = new UpstreamGates(context);
        this.chooser = new UpstreamChooser(context, gates);
    }

    @Override
    public CallerRequestListener open(CallerRequest request, CallerExchange exchange) {
        if (context.stop().timeline().stopping()) {
            context.stop().countArrived();
            context.metrics().arrivedWhileStopping();
        }
        ServingConfiguration configuration = context.configuration().get();
        if (configuration == null) {
            return refuse(request, exchange, RefusalCause.NO_CONFIGURATION, CONFIGURATION_MILLIS);
        }
        Route route = configuration.routes().find(request.host(), request.target());
        if (route == null) {
            return refuse(request, exchange, RefusalCause.NO_ROUTE, 0);
        }
        KeyedAccount account = configuration.accounts().holder(request.apiKey());
        if (account == null && configuration.accounts().required() && !route.anonymous()) {
            return refuse(request, exchange, RefusalCause.UNKNOWN_KEY, 0);
        }
        if (!route.served()) {
            return refuse(request, exchange, RefusalCause.NO_UPSTREAM, 0);
        }
        long now = context.nowMillis();
        RequestFacts facts = RequestFacts.of(request, configuration, route, account, now);
        StopGate stop = context.stop();
        if (stop.timeline().stopping()) {
            RequestDuration duration = stop.duration(facts, null, now);
            if (!stop.takes(facts, duration, now)) {
                stop.countRejected();
                return refuse(request, exchange, RefusalCause.STOPPING, stop.retryAfterMillis(duration, now));
            }
        }
        RequestRun run = new RequestRun(context, chooser, gate, gates, exchange, facts, running::remove);
        running.add(run);
        return run;
    }

    @Override
    public void failed(CallerRequest request, CallerExchange exchange) {
        refuse(request, exchange, RefusalCause.INTERNAL_ERROR, 0);
    }

    /** Refuses a request before a run is started. */
    private CallerRequestListener refuse(
            CallerRequest request, CallerExchange exchange, RefusalCause cause, long retryMillis) {
        context.metrics().refused(cause);
        DecisionLog.Line line = context.log()
                .request("refused", request.id())
                .put("cause", cause.code())
                .put("host_name", request.host())
                .put("target", request.target())
                .put("retry_after_millis", retryMillis);
        if (context.stop().timeline().stopping()) {
            line.put("caller", exchange.callerIp())
                    .put("stopping_millis", context.stop().timeline().elapsedMillis(context.nowMillis()));
        }
        line.write();
        answer(exchange, cause, false, retryMillis);
        return DiscardingRequestListener.INSTANCE;
    }

    /** Returns the HTTP status for a refusal. */
    static HttpResponseStatus status(RefusalCause cause, boolean mayHaveRun) {
        return switch (cause) {
            case NO_ROUTE -> HttpResponseStatus.NOT_FOUND;
            case UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED;
            case ENDS_UPSTREAMS, PART_ENDS_UPSTREAMS -> HttpResponseStatus.BAD_GATEWAY;
            case TIME_LIMIT -> mayHaveRun ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.SERVICE_UNAVAILABLE;
            default -> mayHaveRun ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.SERVICE_UNAVAILABLE;
        };
    }

    /** Sends a response that the router itself generates. */
    static void answer(CallerExchange exchange, RefusalCause cause, boolean mayHaveRun, long retryMillis) {
        HttpResponseStatus status = status(cause, mayHaveRun);
        HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        if (retryMillis > 0 && status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds(retryMillis));
        }
        String text = cause.code() + (mayHaveRun ? MAY_HAVE_RUN : NOT_RUN);
        exchange.answer(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Formats milliseconds as seconds with three decimals. */
    private static String seconds(long millis) {
        long whole = millis / 1_000;
        String decimals = Long.toString(1_000 + millis % 1_000).substring(1);
        return whole + "." + decimals;
    }

    /**
     * Fails the attempts at an incarnation of an upstream that no longer runs, so that their requests are retried
     * elsewhere.
     *
     * @param ended the replaced incarnation, as it was last listed
     */
    public void upstreamRestarted(UpstreamEntry ended) {
        if (ended.draining() || context.upstreams().isDraining(ended.id())) {
            gate.stoppedAsPlanned(ended.id());
        }
        gates.forget(ended.id());
        List.copyOf(running).forEach(run -> run.upstreamRestarted(ended.id()));
    }

    /**
     * Gives up the attempts that wait on connections of a link that fell silent, so that their requests are sent
     * through another router.
     *
     * @param upstream the address of the upstream
     */
    public void linkSilent(Address upstream) {
        long silentSinceMillis = context.nowMillis() - LinkTable.PROBE_MILLIS;
        List.copyOf(running).forEach(run -> run.linkSilent(upstream, silentSinceMillis));
    }

    /**
     * Processes another router's report that an upstream crashed with a request or prompt part in flight.
     *
     * @param trait the request or prompt part
     */
    public void upstreamCrashReported(RequestTrait trait) {
        gate.suspicionChanged(trait);
    }

    /** Re-evaluates all attempts of a request, or with a prompt part, after its suspicion changed. */
    private void recheckSuspicion(RequestTrait trait) {
        List.copyOf(running).forEach(run -> run.recheckSuspicion(trait));
    }

    /**
     * Processes a new entry of an upstream, which may state that it is cold.
     *
     * @param entry the entry
     * @param started whether the upstream was listed for the first time
     */
    public void upstreamListed(UpstreamEntry entry, boolean started) {
        gates.cold().listed(entry, started);
    }

    /**
     * Processes that the platform lists an upstream as serving again after it listed it as draining.
     *
     * @param upstream the incarnation
     */
    public void drainEnded(UpstreamId upstream) {
        gates.drains().listedAsServing(upstream);
    }

    /**
     * Removes expired limits, drains and back-offs.
     *
     * @param platformAnswers whether the platform's list of upstreams is up to date
     */
    public void expire(boolean platformAnswers) {
        gates.expire(platformAnswers);
    }

    /** Ends the requests that are in flight because the process ends. */
    public void processEnds() {
        List.copyOf(running).forEach(RequestRun::processEnds);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return number of requests
     */
    public int open() {
        return running.size();
    }
}
