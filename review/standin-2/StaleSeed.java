import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One seed of a deployment is stale: another deployment of the platform has that machine's address by now. */
final class StaleSeed {

    private static final int ROUTERS = 3;
    private static final int ROUNDS = 10;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Stand.Record record = new Stand.Record(Path.of(args[0], "record.txt"))) {
            try (Scene scene = new Scene(record)) {
                status = play(scene, record, trouble);
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                status = 2;
            }
        }
        System.exit(status);
    }

    private static int play(Scene scene, Stand.Record record, boolean trouble) throws Exception {
        Set<String> ran = ConcurrentHashMap.newKeySet();
        Stand.Store otherStore = new Stand.Store(scene.net + "240", 18223);
        List<Stand.Server> otherReplicas = new ArrayList<>();
        try {
            // The other deployment has run for longer and has had more versions.
            for (int version = 1; version <= 20; version++) {
                otherStore.put(
                        "op/config",
                        Scene.config(
                                        version,
                                        List.of(Scene.route("order", "/order/", "unsafe", "florist", 3_000, 1)
                                                .replace("h.example", "florist.example")),
                                        List.of("key-of-the-other"))
                                .replace("\"name\":\"desk\"", "\"name\":\"florist\""));
            }
            for (int i = 0; i < 3; i++) {
                Stand.Server replica = new Stand.Server(
                        scene.net + (201 + i), 18080, (request, socket) -> Scene.answer(request, "other"));
                otherReplicas.add(replica);
                otherStore.put("servers/o-" + i, Stand.server("florist", replica.address(),
                        String.valueOf("xyz".charAt(i)), "ready", 1));
            }
            start(scene, 10, "xyz", otherStore, List.of("10", "11", "12"));
            record.line("the other deployment runs at " + scene.net + "10 to " + scene.net + "12");

            scene.store.put(
                    "op/config",
                    Scene.config(
                            1, List.of(Scene.route("quote", "/quote/", "unsafe", "desk", 3_000, 1)),
                            List.of(Scene.KEY)));
            for (int i = 0; i < 3; i++) {
                scene.replica(101 + i, "i-" + i, "desk", String.valueOf("abc".charAt(i)), (request, socket) -> {
                    ran.add(request.header("x-request-id"));
                    return Scene.answer(request, "own");
                });
            }
            start(scene, 1, "abc", scene.store, List.of("1", "2", trouble ? "10" : "3"));
            record.line("the own deployment runs at " + scene.net + "1 to " + scene.net + "3; its seeds are its first two"
                    + " routers and " + scene.net + (trouble ? "10, which is stale" : "3"));
            Thread.sleep(5_000);
            int denied = 0;
            int served = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (int i = 0; i < ROUTERS; i++) {
                    Stand.Router router = scene.routers.get(ROUTERS + i);
                    String id = "q-" + round + "-" + i;
                    String result;
                    try {
                        result = scene.send(
                                        router,
                                        Scene.head("POST", "/quote/1", id, 3_000)
                                                + "Content-Length: 5\r\n\r\nquote",
                                        4_000)
                                .line;
                    } catch (IOException e) {
                        result = e.toString();
                    }
                    denied += result.matches(".* (401|403|404) .*") ? 1 : 0;
                    served += result.contains(" 200 ") ? 1 : 0;
                    record.line("request " + id + " to " + router.ip + ": " + result + ", ran: " + ran.contains(id));
                }
            }
            for (int i : new int[] {0, ROUTERS}) {
                Stand.Router router = scene.routers.get(i);
                record.line("the directory of " + router.ip + " names "
                        + Stand.call(router.ip, 18224,
                                        "GET /v1/resolve?name=h.example&region=r&zone=a HTTP/1.1\r\nHost: h\r\n\r\n",
                                        2_000)
                                .text());
            }
            for (Stand.Router router : scene.routers) {
                record.line("router " + router.ip + " runs: " + router.process.isAlive() + ", ready: "
                        + router.ready());
            }
            int all = ROUNDS * ROUTERS;
            record.line(all + " proper requests: " + served + " served, " + denied + " ended with 401, 403 or 404");
            // More than 5 + one in 500 of all requests.
            boolean broken = denied > 5 + all / 500;
            record.line(broken ? "DENIED broken" : "DENIED held");
            return broken ? 1 : 0;
        } finally {
            otherStore.close();
            for (Stand.Server replica : otherReplicas) {
                replica.close();
            }
        }
    }

    /** Starts three routers of a deployment at consecutive addresses and waits until they are ready. */
    private static void start(Scene scene, int first, String zones, Stand.Store store, List<String> seedHosts)
            throws Exception {
        List<String> seeds = seedHosts.stream()
                .map(host -> scene.net + host + ":18229")
                .toList();
        List<Stand.Router> started = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            Stand.Router router = new Stand.Router(
                    scene.root,
                    scene.folder,
                    first + i,
                    scene.net + (first + i),
                    String.valueOf(zones.charAt(i)),
                    seeds,
                    store.server.address());
            scene.routers.add(router);
            started.add(router);
            router.start(scene.root);
        }
        for (Stand.Router router : started) {
            router.awaitReady(20_000);
        }
    }
}
