package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.bench.deployment.DeploymentDocuments;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.membership.RosterHost;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;

/**
 * The configuration documents and the roster of a fleet of a given size.
 *
 * @param routers number of routers
 * @param replicas number of model replicas
 * @param accounts number of client accounts
 */
record FleetModel(int routers, int replicas, int accounts) {

    /** Number of data centres of the target fleet. */
    static final int DATA_CENTRES = 8;

    /** Number of models of the target fleet. */
    static final int MODELS = 4;

    /** Number of replicas per group; small groups limit the number of engines that one router owns. */
    static final int GROUP_REPLICAS = 8;

    /** Returns the complete configuration as a delta. */
    DocumentDelta configuration() {
        Map<String, String> documents = new LinkedHashMap<>();
        for (int m = 0; m < MODELS; m++) {
            documents.put("models/model-" + m, DeploymentDocuments.model("r1"));
            documents.put("services/service-" + m, service("model-" + m));
        }
        for (int g = 0; g * GROUP_REPLICAS < replicas; g++) {
            documents.put("groups/group-" + g, group(g));
        }
        Address address = new Address("10.0.0.1", 8_000);
        for (int r = 0; r < replicas; r++) {
            String engine = DeploymentDocuments.engine("x", address, EngineSpeed.DEFAULT, true);
            documents.put(
                    "upstreams/replica-" + r,
                    engine.replace("\"" + DeploymentDocuments.MODEL + "-x\"", "\"group-" + r / GROUP_REPLICAS + "\""));
        }
        for (int a = 0; a < accounts; a++) {
            documents.put("accounts/account-" + a, account(a));
        }
        documents.put("presets/ordinary", "{\"slowdownWeight\":0.5,\"shortShare\":0.2}");
        documents.put("fleet/preset", DeploymentDocuments.preset("ordinary"));
        List<Document> list = new ArrayList<>();
        documents.forEach((key, body) -> list.add(new Document(key, 1, body)));
        return new DocumentDelta(0, 1, true, list, Map.of());
    }

    /** Creates a service. */
    private static String service(String model) {
        return Json.STRICT
                .createObjectNode()
                .put("kind", "completion")
                .put("target", model)
                .put("priority", 1)
                .put("repeatable", true)
                .put("timeLimitMillis", 10_000)
                .put("maxTimeLimitMillis", 60_000)
                .toString();
    }

    /** Creates a group. */
    private static String group(int number) {
        return Json.STRICT
                .createObjectNode()
                .put("dataCentre", "dc-" + number % DATA_CENTRES)
                .put("kind", "completion")
                .put("target", "model-" + number / DATA_CENTRES % MODELS)
                .toString();
    }

    /** Creates a client account. */
    static String account(int number) {
        var document = Json.STRICT.createObjectNode();
        document.putArray("keyDigests").add(KeyDigests.of("key-" + number));
        var services = document.putArray("services");
        for (int m = 0; m < MODELS; m++) {
            services.add("service-" + m);
        }
        return document.put("tokensPerSecond", 100_000)
                .put("burstTokens", 1_000_000)
                .put("maxConcurrent", 100)
                .toString();
    }

    /** Returns the roster. */
    Roster roster() {
        SortedMap<HostId, RosterHost> hosts = new TreeMap<>();
        for (int i = 0; i < routers; i++) {
            HostId host = new HostId("router-" + i);
            Address address = new Address("10.0.0.2", i + 1);
            hosts.put(host, new RosterHost(host, new DataCentreId("dc-" + i % DATA_CENTRES), address, address, false));
        }
        return new Roster(1, hosts, Set.of());
    }
}
