package org.apricotstack.bench.deployment;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.trace.TraceOptions;
import org.apricotstack.core.id.Address;

/** Creates the configuration documents of a deployment. */
public final class DeploymentDocuments {

    /** Key of the document with the fleet limits. */
    public static final String LIMITS = "fleet/limits";

    /** Time between heartbeats of an attempt, in milliseconds. */
    private static final long HEARTBEAT_MILLIS = 250;

    /** Name of the only model. */
    public static final String MODEL = "general";

    /** Name of the only plain service. */
    public static final String PLAIN = "application";

    /** Names of the services that traces call. */
    public static final TraceOptions.Services SERVICES =
            new TraceOptions.Services("short-answer", "summary", "review", "confirmation");

    private static final int LARGE_ACCOUNTS = 2;

    private DeploymentDocuments() {}

    /**
     * Creates all documents except those of the upstreams.
     *
     * @param shape the deployment
     * @return documents by key
     */
    public static Map<String, String> fleet(DeploymentShape shape) {
        Map<String, String> documents = new TreeMap<>();
        int number = 0;
        for (String account : shape.accountNames()) {
            documents.put("accounts/" + account, account(account, number++ < LARGE_ACCOUNTS));
        }
        documents.put(
                "models/" + MODEL,
                object().put("revision", "r1").put("deterministic", true).toString());
        documents.put("services/" + SERVICES.shortService(), service("completion", MODEL, 0, true, 10_000));
        documents.put("services/" + SERVICES.mediumService(), service("completion", MODEL, 3, true, 30_000));
        documents.put("services/" + SERVICES.longService(), service("completion", MODEL, 6, true, 60_000));
        documents.put("services/" + SERVICES.plainService(), service("plain", PLAIN, 0, false, 10_000));
        documents.put("services/lookup", service("plain", PLAIN, 2, true, 10_000));
        for (String dataCentre : shape.dataCentres()) {
            documents.put("groups/" + group(dataCentre), groupDocument(dataCentre, "completion", MODEL));
            documents.put("groups/" + plainGroup(dataCentre), groupDocument(dataCentre, "plain", PLAIN));
        }
        documents.put("presets/ordinary", preset(shape.slowdownWeight(), 0.2, 10, 1.0));
        documents.put("presets/peak", preset(Math.min(1, shape.slowdownWeight() + 0.1), 0.3, 9, 0.9));
        documents.put("presets/maintenance", preset(shape.slowdownWeight(), 0.2, 5, 0.5));
        documents.put("fleet/preset", preset("ordinary"));
        documents.put(LIMITS, limits(HEARTBEAT_MILLIS));
        return documents;
    }

    /**
     * Creates the document with the fleet limits.
     *
     * @param heartbeatMillis time between heartbeats of an attempt without other events, in milliseconds
     * @return the document
     */
    public static String limits(long heartbeatMillis) {
        return object().put("entryKeepMillis", 3_000)
                .put("heartbeatMillis", heartbeatMillis)
                .toString();
    }

    /** Returns the name of the group of engines of a data centre. */
    static String group(String dataCentre) {
        return MODEL + "-" + dataCentre;
    }

    /** Returns the name of the group of plain replicas of a data centre. */
    static String plainGroup(String dataCentre) {
        return PLAIN + "-" + dataCentre;
    }

    /**
     * Creates the document that selects the preset.
     *
     * @param name name of the preset
     * @return the document
     */
    public static String preset(String name) {
        return object().put("preset", name).toString();
    }

    /**
     * Creates the model document with a revision.
     *
     * @param revision the revision that engines have to load
     * @return the document
     */
    public static String model(String revision) {
        return object().put("revision", revision).put("deterministic", true).toString();
    }

    /** Creates a client account; its API key is {@code key-} followed by its name. */
    private static String account(String name, boolean large) {
        ObjectNode document = object();
        document.putArray("keyDigests").add(KeyDigests.of("key-" + name));
        var services = document.putArray("services");
        List.of(
                        SERVICES.shortService(),
                        SERVICES.mediumService(),
                        SERVICES.longService(),
                        SERVICES.plainService(),
                        "lookup")
                .forEach(services::add);
        document.put("tokensPerSecond", large ? 20_000_000 : 10_000_000)
                .put("burstTokens", large ? 80_000_000 : 40_000_000)
                .put("maxConcurrent", large ? 2_000 : 500);
        return document.toString();
    }

    /** Creates a service. */
    private static String service(String kind, String target, int priority, boolean repeatable, long limitMillis) {
        return object().put("kind", kind)
                .put("target", target)
                .put("priority", priority)
                .put("repeatable", repeatable)
                .put("timeLimitMillis", limitMillis)
                .put("maxTimeLimitMillis", 120_000)
                .toString();
    }

    /** Creates a group. */
    private static String groupDocument(String dataCentre, String kind, String target) {
        return object().put("dataCentre", dataCentre)
                .put("kind", kind)
                .put("target", target)
                .toString();
    }

    /** Creates a preset. */
    private static String preset(double slowdownWeight, double shortShare, int shedFrom, double limitFactor) {
        return object().put("slowdownWeight", slowdownWeight)
                .put("shortShare", shortShare)
                .put("shedFromPriority", shedFrom)
                .put("limitFactor", limitFactor)
                .toString();
    }

    /**
     * Creates an engine.
     *
     * @param dataCentre its data centre
     * @param address address on which it listens
     * @param speed its speed and size
     * @param refusesOldFencing whether it refuses orders with an outdated fencing number
     * @return the document
     */
    public static String engine(String dataCentre, Address address, EngineSpeed speed, boolean refusesOldFencing) {
        return object().put("group", group(dataCentre))
                .put("address", address.toString())
                .put("memoryTokens", speed.memoryTokens())
                .put("maxStreams", 64)
                .put("refusesOldFencing", refusesOldFencing)
                .put("checksOrders", refusesOldFencing)
                .put("role", "mixed")
                .toString();
    }

    /**
     * Creates a replica of the plain service.
     *
     * @param dataCentre its data centre
     * @param address address on which it listens
     * @return the document
     */
    public static String replica(String dataCentre, Address address) {
        return object().put("group", plainGroup(dataCentre))
                .put("address", address.toString())
                .put("maxStreams", 256)
                .toString();
    }

    /**
     * Creates a router entry of the roster.
     *
     * @param dataCentre its data centre
     * @param callerAddress address for callers
     * @param peerAddress address for other routers
     * @param leaving whether it is listed as draining
     * @return the document
     */
    public static String router(String dataCentre, Address callerAddress, Address peerAddress, boolean leaving) {
        return object().put("dataCentre", dataCentre)
                .put("callerAddress", callerAddress.toString())
                .put("peerAddress", peerAddress.toString())
                .put("leaving", leaving)
                .toString();
    }

    /** Creates an empty document. */
    private static ObjectNode object() {
        return Json.STRICT.createObjectNode();
    }
}
