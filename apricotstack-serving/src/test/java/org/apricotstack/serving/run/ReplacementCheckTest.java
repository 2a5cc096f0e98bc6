package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.route.Route;
import org.apricotstack.core.route.ServiceProfile;
import org.apricotstack.core.route.WeightedService;
import org.apricotstack.core.stop.AddressLifetime;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.suspect.ObservedCrash;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.CallerRequest;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.ServingMetrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReplacementCheckTest {

    private static final ProcessId PROCESS = new ProcessId(new HostId("router"), 1);
    private static final ServiceId SERVICE = new ServiceId("service");
    private static final DataCentreId EAST = new DataCentreId("east");
    private static final UpstreamEntry SILENT = entry("silent");
    private static final UpstreamEntry OTHER = entry("other");

    /** From this time after the signal on, callers know of the stop. */
    private static final long KNOWN_MILLIS = 2_901;

    /** Longer than a granted permit may be kept. */
    private static final long LATER_MILLIS = 151;

    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RequestKind.SAFE,
            1_000_000,
            150,
            1,
            List.of(new WeightedService(SERVICE, 1)),
            2,
            true,
            true,
            100);

    /** Memory of an engine in tokens; the prompt of the request takes most of it. */
    private static final long MEMORY_TOKENS = 300_000;

    private static final EngineProfile ENGINE =
            new EngineProfile(8, MEMORY_TOKENS, 50, 1, 0, 0, 200, 0, Integer.MAX_VALUE, 800);

    private static final CallerRequest REQUEST = new CallerRequest(
            "id",
            "h",
            "/",
            null,
            CallerRequest.NO_TIMEOUT,
            null,
            200_000,
            100,
            List.of(),
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
    private static final RequestFacts FACTS = new RequestFacts(
            REQUEST, ROUTE, null, SERVICE, new ServiceProfile(SERVICE, 10, Optional.empty()), 1, 0, 1_000_000);

    private static final RequestFacts ENGINE_FACTS = new RequestFacts(
            REQUEST, ROUTE, null, SERVICE, new ServiceProfile(SERVICE, 10, Optional.of(ENGINE)), 1, 0, 1_000_000);

    private long nowMillis;
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final DecisionLog log = new DecisionLog("host", () -> 0);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final LimitTable limits = new LimitTable();
    private final PendingPermits permits = new PendingPermits();
    private final SuspectTable suspects = new SuspectTable(PROCESS, suspect -> {});
    private final StopPolicy stop = new StopPolicy(8_000, new AddressLifetime(1));
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final ServingContext context = new ServingContext(
            PROCESS,
            EAST,
            loop,
            null,
            upstreams,
            new OutlierDetector(),
            loadTable,
            null,
            null,
            null,
            new NoPlacementGossip(),
            suspects,
            null,
            LimitsInForce.advertisedOnly(limits),
            permits,
            new RetryBudgets(5, 1_000, () -> 1),
            null,
            new StopGate(stop, () -> new OtherRouters(true, List.of()), loadTable, new StallDetector(0)),
            log,
            new ServingMetrics());
    private final UpstreamGates gates = new UpstreamGates(context);
    private final UpstreamChooser chooser = new UpstreamChooser(context, gates);
    private final SuspectTracker suspectTracker = new SuspectTracker(new SuspectGate(context, trait -> {}), FACTS);
    private final ReplacementCheck check = check(FACTS);
    private final Attempt attempt =
            new Attempt(null, new UpstreamChoice(SILENT, List.of(), null, 0, false, false, false), 0);

    /** A permit issuer that answers when the test decides. */
    private static final class PendingPermits implements LimitGossip {
        private Consumer<PermitGrant> waiting;

        @Override
        public void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit) {
            // Limit changes are not reported in these tests.
        }

        @Override
        public void coldChanged(UpstreamId upstream, LimitChange change) {
            // Cold periods are not reported in these tests.
        }

        @Override
        public String permitIssuerOf(UpstreamId upstream) {
            return "keeper";
        }

        @Override
        public void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
            waiting = then;
        }

        @Override
        public void charge(UpstreamId upstream, RateLimit limit, int requests) {
            // Nothing is sent without a permit in these tests.
        }
    }

    /** Reports no placements. */
    private static final class NoPlacementGossip implements PlacementGossip {
        @Override
        public boolean hasPeerPlacements() {
            return true;
        }

        @Override
        public void placementStarted(EnginePlacement placement, long limitMillis) {}

        @Override
        public void decodeStarted(EnginePlacement placement) {}

        @Override
        public void placementEnded(EnginePlacement placement) {}

        @Override
        public void drainChanged(UpstreamId upstream) {}

        @Override
        public void upstreamAvoided(UpstreamId upstream, long millis) {}
    }

    private ReplacementCheck check(RequestFacts facts) {
        return check(facts, new StreamProgress(null));
    }

    private ReplacementCheck check(RequestFacts facts, StreamProgress progress) {
        return new ReplacementCheck(
                context,
                chooser,
                gates,
                facts,
                new AttemptCount(ROUTE),
                progress,
                suspectTracker,
                null,
                new HashSet<>());
    }

    private static UpstreamEntry entry(String name) {
        return new UpstreamEntry(new UpstreamId(name, 1), SERVICE, new Address("127.0.0.1", 1), EAST, 6, false, 1);
    }

    @BeforeEach
    void list() {
        upstreams.put(SILENT);
        upstreams.put(OTHER);
        context.budgets().of(SERVICE).request(0);
    }

    @AfterEach
    void close() {
        loop.close();
        log.close();
    }

    private KeptCause acquire() {
        return check.acquire(attempt, FailureKind.SILENT);
    }

    @Test
    void replacesAnAttemptAtOnceIfAnotherUpstreamTakesTheRequest() {
        assertThat(acquire()).isNull();
    }

    @Test
    void keepsAnAttemptUntilAPermitForTheOtherUpstreamIsGranted() {
        limits.reportedByPeer(OTHER.id(), new RateLimit(1, 0));
        assertThat(acquire()).isEqualTo(KeptCause.NO_PERMIT);
        assertThat(check.usePermit(OTHER.id())).isFalse();
        permits.waiting.accept(new PermitGrant(1, 0));
        assertThat(acquire()).isNull();
        assertThat(check.usePermit(OTHER.id())).isTrue();
        assertThat(check.usePermit(OTHER.id())).isFalse();
    }

    /** Guards against a permit that is never used, as its upstream counts as blocked until the next one is due. */
    @Test
    void usesAGrantedPermitThoughNoOtherIsToBeHad() {
        limits.reportedByPeer(OTHER.id(), new RateLimit(1, 0));
        acquire();
        permits.waiting.accept(new PermitGrant(1, 900));
        assertThat(acquire()).isNull();
        assertThat(check.choose(Set.of()).upstream()).isEqualTo(OTHER);
        assertThat(check.usePermit(OTHER.id())).isTrue();
    }

    /** Guards against a request whose own held room keeps it at a dead engine. */
    @Test
    void holdsNoRoomWhileAPermitIsAwaited() {
        limits.reportedByPeer(OTHER.id(), new RateLimit(1, 0));
        ReplacementCheck silent = check(ENGINE_FACTS);
        assertThat(silent.acquire(attempt, FailureKind.SILENT)).isEqualTo(KeptCause.NO_PERMIT);
        assertThat(loadTable.size()).isZero();
        permits.waiting.accept(new PermitGrant(1, 0));
        nowMillis += LATER_MILLIS;
        assertThat(silent.acquire(attempt, FailureKind.SILENT)).isEqualTo(KeptCause.NO_PERMIT);
    }

    /** Guards against attempts that are given up together for one retry. */
    @Test
    void takesTheRetryOfAReplacementBeforeTheAttemptIsGivenUp() {
        double leftBefore = context.budgets().of(SERVICE).left(nowMillis);
        assertThat(acquire()).isNull();
        assertThat(context.budgets().of(SERVICE).left(nowMillis)).isEqualTo(leftBefore - 1);
        check.release();
        assertThat(context.budgets().of(SERVICE).left(nowMillis)).isEqualTo(leftBefore);
    }

    @Test
    void usesNoPermitThatWasGrantedForAnEarlierSilence() {
        limits.reportedByPeer(OTHER.id(), new RateLimit(1, 0));
        acquire();
        permits.waiting.accept(new PermitGrant(1, 0));
        nowMillis += LATER_MILLIS;
        assertThat(check.usePermit(OTHER.id())).isFalse();
    }

    @Test
    void keepsAnAttemptWhileAPermitIsDenied() {
        limits.reportedByPeer(OTHER.id(), new RateLimit(1, 0));
        acquire();
        permits.waiting.accept(new PermitGrant(0, 900));
        assertThat(acquire()).isEqualTo(KeptCause.NO_REPLACEMENT);
    }

    @Test
    void keepsAnAttemptWhoseRequestWouldWaitForATrialElsewhere() {
        suspectTracker.body(Unpooled.EMPTY_BUFFER);
        RequestDigest request = suspectTracker.digest();
        ObservedCrash crash = new ObservedCrash(new UpstreamId("crashed", 1), false, nowMillis);
        suspects.upstreamCrashed(request, crash, null, nowMillis);
        nowMillis += LATER_MILLIS;
        assertThat(acquire()).isNull();
        suspects.trialStarted(request, new ProcessId(new HostId("peer"), 1), OTHER.id(), 10_000);
        assertThat(acquire()).isEqualTo(KeptCause.IN_TRIAL);
    }

    /** Guards against a stream that is moved, and then cut, though its engine goes on after a silence. */
    @ParameterizedTest
    @CsvSource({"2100, STOPPING", "2101,"})
    void keepsAStreamOfAStoppingRouterUntilItsEngineIsSilentForTooLong(long silentMillis, KeptCause cause) {
        StreamProgress progress = new StreamProgress(null);
        ReplacementCheck silent = check(ENGINE_FACTS, progress);
        stop.timeline().begin(0, 0);
        nowMillis = stop.timeline().durationMillis() - silentMillis;
        progress.eventForwarded(1, nowMillis);
        nowMillis += silentMillis;
        assertThat(silent.obstacle(attempt, FailureKind.SILENT)).isEqualTo(cause);
    }

    /** Guards against a stream that is moved, and cut by a silence of the next engine, though it would have gone on. */
    @ParameterizedTest
    @CsvSource({"PASSED_OVER, 2000, STOPPING", "PASSED_OVER, 4000,", "PASSED_OVER, 1061,STOPPING", "SILENT, 2000,"})
    void movesAStreamOfAStoppingRouterOnlyIfASilenceOfTheNextEngineFits(
            FailureKind kind, long leftMillis, KeptCause cause) {
        StreamProgress progress = new StreamProgress(null);
        EnginePlacement placement = new EnginePlacement(null, List.of(), 0, 0, 0);
        Attempt silent = new Attempt(null, new UpstreamChoice(SILENT, List.of(), placement, 0, false, false, false), 0);
        stop.timeline().begin(-KNOWN_MILLIS, -KNOWN_MILLIS);
        long silentMillis = 1_000;
        nowMillis = stop.timeline().leftMillis(0) - leftMillis;
        progress.eventForwarded(0, nowMillis - silentMillis);
        assertThat(check(ENGINE_FACTS, progress).obstacle(silent, kind)).isEqualTo(cause);
    }

    /** Guards against an attempt that may go on and is given up for a request that would then be rejected. */
    @ParameterizedTest
    @CsvSource({"PASSED_OVER, 4001, STOPPING", "PASSED_OVER, 4000,", "SILENT, 4001,"})
    void givesUpALateAttemptOnlyIfItsRequestIsStillTaken(FailureKind kind, long limitMillis, KeptCause cause) {
        EnginePlacement placement = new EnginePlacement(null, List.of(), 0, 0, 0);
        Attempt silent = new Attempt(null, new UpstreamChoice(SILENT, List.of(), placement, 0, false, false, false), 0);
        stop.timeline().begin(-KNOWN_MILLIS, -KNOWN_MILLIS);
        nowMillis = stop.timeline().leftMillis(0) - 4_000;
        RequestFacts facts =
                new RequestFacts(REQUEST, ROUTE, null, SERVICE, ENGINE_FACTS.profile(), 1, 0, nowMillis + limitMillis);
        assertThat(check(facts).obstacle(silent, kind)).isEqualTo(cause);
    }

    @Test
    void holdsTheRoomOfAReplacementUntilTheNextAttemptStarts() {
        ReplacementCheck silent = check(ENGINE_FACTS);
        assertThat(silent.acquire(attempt, FailureKind.SILENT)).isNull();
        assertThat(check(ENGINE_FACTS).obstacle(attempt, FailureKind.SILENT)).isEqualTo(KeptCause.NO_REPLACEMENT);
        UpstreamChoice choice = silent.choose(Set.of());
        assertThat(choice.upstream()).isEqualTo(OTHER);
        silent.begin(choice, nowMillis);
        chooser.end(choice);
        assertThat(loadTable.size()).as("placements after the end").isZero();
    }

    @Test
    void freesTheRoomOfAReplacementThatIsNotUsed() {
        ReplacementCheck silent = check(ENGINE_FACTS);
        silent.acquire(attempt, FailureKind.SILENT);
        assertThat(loadTable.size()).isEqualTo(1);
        silent.release();
        assertThat(loadTable.size()).isZero();
    }
}
