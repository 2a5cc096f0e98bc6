import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's store moves to another address, which the changed settings name; then the configuration changes. */
final class MovedStore {

    private static final int CONFIG_APPLY_MILLIS = 2_000;

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
        String quote = Scene.route("quote", "/quote/", "unsafe", "desk", 3_000, 1);
        String payout = Scene.route("payout", "/payout/", "unsafe", "desk", 3_000, 1);
        String first = Scene.config(1, List.of(quote), List.of(Scene.KEY, "key-taken-away"));
        scene.store.put("op/config", first);
        for (int i = 0; i < 3; i++) {
            scene.replica(101 + i, "i-" + i, "desk", String.valueOf("abc".charAt(i)), (request, socket) -> {
                ran.add(request.header("x-request-id"));
                return Scene.answer(request, "answer");
            });
        }
        scene.routers(3);
        Thread.sleep(3_000);
        Stand.Store current = scene.store;
        Stand.Store moved = new Stand.Store(scene.net + "251", 18223);
        try {
            if (trouble) {
                // The store loses nothing and goes on with the same items and a higher revision.
                for (int i = 0; i < 3; i++) {
                    moved.put("servers/i-" + i, Stand.server("desk", scene.replicas.get(i).address(),
                            String.valueOf("abc".charAt(i)), "ready", 1));
                }
                for (int i = 0; i < 20; i++) {
                    moved.put("op/config", first);
                }
                current = moved;
                for (int i = 0; i < 3; i++) {
                    List<String> seeds = new ArrayList<>();
                    for (int seed = 1; seed <= 3; seed++) {
                        seeds.add(scene.net + seed + ":18229");
                    }
                    scene.routers
                            .get(i)
                            .writeSettings(i + 1, String.valueOf("abc".charAt(i)), seeds, moved.server.address());
                    scene.routers.get(i).signal("HUP");
                }
                record.line("the store moved from " + scene.store.server.address() + " to " + moved.server.address()
                        + "; the settings name the new address, SIGHUP sent to all routers");
                Thread.sleep(10_000);
                scene.store.close();
                record.line("the old address is closed");
                Thread.sleep(5_000);
            }
            current.put("op/config", Scene.config(2, List.of(quote, payout), List.of(Scene.KEY)));
            record.line("version 2 acknowledged by the store: one key less, one route more");
            Thread.sleep(CONFIG_APPLY_MILLIS + 5_000 + 1_000);
            int older = 0;
            int sent = 0;
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 3; i++) {
                    String id = "old-key-" + round + "-" + i;
                    String result = ask(scene, i, "/quote/1", id, "key-taken-away");
                    older += ran.contains(id) ? 1 : 0;
                    record.line("router " + i + ", key that was taken away, " + id + ": " + result + ", ran: "
                            + ran.contains(id));
                    id = "new-route-" + round + "-" + i;
                    result = ask(scene, i, "/payout/1", id, Scene.KEY);
                    older += result.contains(" 404 ") ? 1 : 0;
                    record.line("router " + i + ", new route, " + id + ": " + result);
                    sent += 2;
                }
            }
            for (int i = 0; i < 3; i++) {
                record.line("router " + i + " runs: " + scene.routers.get(i).process.isAlive() + ", ready: "
                        + scene.routers.get(i).ready());
            }
            record.line(older + " of " + sent + " requests were handled as only version 1 allows");
            record.line(older > 0 ? "CONFIG broken" : "CONFIG held");
            return older > 0 ? 1 : 0;
        } finally {
            moved.close();
        }
    }

    private static String ask(Scene scene, int router, String target, String id, String key) {
        try {
            return scene.send(
                            scene.routers.get(router),
                            Scene.head("POST", target, id, 3_000).replace(Scene.KEY, key)
                                    + "Content-Length: 5\r\n\r\nquote",
                            4_000)
                    .line;
        } catch (IOException e) {
            return e.toString();
        }
    }
}
