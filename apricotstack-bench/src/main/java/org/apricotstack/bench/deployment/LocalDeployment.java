package org.apricotstack.bench.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.BooleanSupplier;

import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.engine.StandInEngine;
import org.apricotstack.bench.platform.StandInPlatform;
import org.apricotstack.bench.service.StandInService;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.router.Router;
import org.apricotstack.router.RouterRuntime;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** A complete deployment in one process, connected over loopback TCP. */
public final class LocalDeployment implements AutoCloseable {

    /** The admin key of all routers. */
    public static final String ADMIN_KEY = "operators";

    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final Duration SERVICE_DELAY = Duration.ofMillis(5);
    private static final int MAX_SEED_PEERS = 6;
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration MAX_WAIT = Duration.ofSeconds(30);
    /** Short timeouts and intervals, for demonstrations and tests. */
    public static final RouterSettings.Timings QUICK = new RouterSettings.Timings(200, 200, 600, 500, 5_000, 1_000);

    private final DeploymentShape shape;
    private final EngineSpeed speed;
    private final double pace;
    private final RouterSettings.Timings timings;
    private final StandInPlatform platform = new StandInPlatform(ANY_PORT);
    private final StandInService.Ledger ledger = new StandInService.Ledger();
    private final Map<String, StandInEngine> engines = new LinkedHashMap<>();
    private final Map<String, StandInService> replicas = new LinkedHashMap<>();
    private final Map<String, Router> routers = new ConcurrentSkipListMap<>();
    private final Map<String, String> dataCentreOfRouter = new ConcurrentSkipListMap<>();
    private long incarnations = 1;

    /**
     * Starts the stand-ins and the routers, and waits until all routers are serving.
     *
     * @param shape the deployment
     * @param speed speed and size of the engines
     * @param pace speed of the engines relative to the model
     */
    public LocalDeployment(DeploymentShape shape, EngineSpeed speed, double pace) {
        this(shape, speed, pace, QUICK);
    }

    /**
     * Starts the stand-ins and the routers, and waits until all routers are serving.
     *
     * @param shape the deployment
     * @param speed speed and size of the engines
     * @param pace speed of the engines relative to the model
     * @param timings timeouts and intervals of the protocol between routers
     */
    public LocalDeployment(DeploymentShape shape, EngineSpeed speed, double pace, RouterSettings.Timings timings) {
        this.timings = timings;
        this.shape = shape;
        this.speed = speed;
        this.pace = pace;
        startUpstreams();
        for (String dataCentre : shape.dataCentres()) {
            for (int i = 1; i <= shape.routers(); i++) {
                startRouter("router-" + dataCentre + "-" + i, dataCentre);
            }
        }
        publishRoster();
        await("all routers serve and know each other", () -> routers.values().stream()
                .allMatch(router -> router.isServing() && router.knownRouters() == routers.size()));
    }

    /** Starts engines and replicas, and publishes the configuration. */
    private void startUpstreams() {
        Map<String, String> documents = DeploymentDocuments.fleet(shape);
        for (int i = 0; i < shape.dataCentres().size(); i++) {
            String dataCentre = shape.dataCentres().get(i);
            for (int e = 1; e <= shape.engines().get(i); e++) {
                String name = "engine-" + dataCentre + "-" + e;
                boolean enforcesFencing = e % 2 == 1;
                StandInEngine engine = new StandInEngine(ANY_PORT, speed, pace, enforcesFencing);
                engines.put(name, engine);
                documents.put(
                        "upstreams/" + name,
                        DeploymentDocuments.engine(dataCentre, engine.address(), speed, enforcesFencing));
            }
            for (int r = 1; r <= shape.replicas(); r++) {
                String name = "replica-" + dataCentre + "-" + r;
                StandInService replica = new StandInService(ANY_PORT, ledger, SERVICE_DELAY);
                replicas.put(name, replica);
                documents.put("upstreams/" + name, DeploymentDocuments.replica(dataCentre, replica.address()));
            }
        }
        platform.publish(ReplicationTopic.CONFIGURATION, documents, List.of());
    }

    /**
     * Starts a router without publishing the roster.
     *
     * @param name name of its host
     * @param dataCentre its data centre
     * @return the router
     */
    public Router startRouter(String name, String dataCentre) {
        List<Address> seeds = routers.values().stream()
                .limit(MAX_SEED_PEERS)
                .map(router -> new Address(ANY_PORT.ip(), router.peerPort()))
                .toList();
        RouterSettings settings = new RouterSettings(
                new HostId(name),
                new DataCentreId(dataCentre),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                List.of(platform.address()),
                seeds,
                KeyDigests.of(ADMIN_KEY),
                1L << 30,
                timings,
                null,
                null);
        RouterRuntime machine = RouterRuntime.system();
        Router router = new Router(
                settings,
                new RouterRuntime(
                        machine.clock(), machine.timer(), machine.startMillis() + incarnations++, machine.stopLimit()));
        router.start();
        routers.put(name, router);
        dataCentreOfRouter.put(name, dataCentre);
        return router;
    }

    /** Publishes a roster with all running routers. */
    public void publishRoster() {
        publishRoster(Map.of());
    }

    /**
     * Publishes a roster with all running routers.
     *
     * @param peerAddresses addresses for other routers, by host, of routers behind a relay
     */
    public void publishRoster(Map<String, Address> peerAddresses) {
        Map<String, String> documents = new LinkedHashMap<>();
        routers.forEach((name, router) -> documents.put(
                "routers/" + name,
                DeploymentDocuments.router(
                        dataCentreOfRouter.get(name),
                        new Address(ANY_PORT.ip(), router.callerPort()),
                        peerAddresses.getOrDefault(name, new Address(ANY_PORT.ip(), router.peerPort())),
                        false)));
        platform.publish(ReplicationTopic.ROSTER, documents, List.of());
    }

    /**
     * Publishes an unused preset, and waits until all routers have applied that version.
     *
     * @param key key of the preset document
     * @return the version
     */
    public long publishAndAwait(String key) {
        String preset = "{\"slowdownWeight\":0.5,\"shortShare\":0.2}";
        long version = platform.publish(ReplicationTopic.CONFIGURATION, Map.of(key, preset), List.of());
        await("version " + version + " is in force", () -> routers.values().stream()
                .allMatch(router -> router.configurationVersion() >= version));
        return version;
    }

    /**
     * Kills a router without draining it; it stays on the roster.
     *
     * @param name name of its host
     */
    public void killRouter(String name) {
        routers.remove(name).kill();
    }

    /**
     * Drains a router, and removes it from the roster once it has stopped.
     *
     * @param name name of its host
     */
    public void retireRouter(String name) {
        Router router = routers.get(name);
        router.drain();
        router.ended().block(MAX_WAIT);
        router.close();
        routers.remove(name);
        platform.publish(ReplicationTopic.ROSTER, Map.of(), List.of("routers/" + name));
    }

    /**
     * Waits for a condition.
     *
     * @param what description of the condition, for the error message
     * @param condition the condition
     * @throws ApricotException if it does not hold within 30 s
     */
    public static void await(String what, BooleanSupplier condition) {
        Boolean fulfilled = Flux.interval(Duration.ZERO, POLL_INTERVAL)
                .onBackpressureDrop()
                .publishOn(Schedulers.boundedElastic(), 1)
                .map(tick -> condition.getAsBoolean())
                .any(holds -> holds)
                .timeout(MAX_WAIT, Mono.just(false))
                .block();
        if (!Boolean.TRUE.equals(fulfilled)) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Timed out waiting until " + what + "; check the log for the cause.");
        }
    }

    /**
     * Returns the addresses for callers.
     *
     * @return addresses of all running routers that serve
     */
    public List<Address> entries() {
        return routers.values().stream()
                .filter(Router::isServing)
                .map(router -> new Address(ANY_PORT.ip(), router.callerPort()))
                .toList();
    }

    /**
     * Returns the number of routers that a router names to callers.
     *
     * @param router the router
     * @return the number of addresses in its entry answer
     */
    public static int namedRouters(Router router) {
        byte[] answer = HttpClient.create()
                .get()
                .uri("http://" + new Address(ANY_PORT.ip(), router.callerPort()) + "/v1/entries")
                .responseSingle((response, body) -> body.asByteArray())
                .block(MAX_WAIT);
        try {
            return Json.STRICT.readTree(answer).path("entries").size();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the memory held on all engines.
     *
     * @return tokens
     */
    public long heldTokens() {
        return engines.values().stream().mapToLong(StandInEngine::heldTokens).sum();
    }

    /**
     * Returns the size and layout.
     *
     * @return the shape
     */
    public DeploymentShape shape() {
        return shape;
    }

    /**
     * Returns the platform.
     *
     * @return the stand-in
     */
    public StandInPlatform platform() {
        return platform;
    }

    /**
     * Returns the execution counts of plain calls.
     *
     * @return the ledger
     */
    public StandInService.Ledger ledger() {
        return ledger;
    }

    /**
     * Returns the engines.
     *
     * @return engines by name
     */
    public Map<String, StandInEngine> engines() {
        return engines;
    }

    /**
     * Returns the replicas of the plain service.
     *
     * @return replicas by name
     */
    public Map<String, StandInService> replicas() {
        return replicas;
    }

    /**
     * Returns the running routers.
     *
     * @return routers by host
     */
    public Map<String, Router> routers() {
        return routers;
    }

    @Override
    public void close() {
        routers.values().forEach(Router::kill);
        engines.values().forEach(StandInEngine::close);
        replicas.values().forEach(StandInService::close);
        platform.close();
    }
}
