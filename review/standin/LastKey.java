import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The operator takes away the last keys; requests with them, without a key and with an invented key follow. */
final class LastKey {

    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private LastKey() {}

    public static void main(String[] args) throws Exception {
        Kit.play(Path.of(args[0]), LastKey::play);
    }

    private static String tenant(String... keys) {
        List<String> quoted = new ArrayList<>();
        for (String key : keys) {
            quoted.add("\"" + key + "\"");
        }
        return "{\"name\":\"hule930\",\"api_keys\":[" + String.join(",", quoted) + "],\"priority\":1}";
    }

    private static boolean play() throws Exception {
        Kit.Store store = new Kit.Store();
        String route = Kit.route("r-1", "/puxa403/", "unsafe", "wuno96b", 1500, 2);
        store.put("op/config", Kit.configuration(7, "wuno96b", tenant("key-one", "key-two"), route));
        for (String zone : List.of("derby-hall", "nottingham-hall", "leicester-hall")) {
            new Kit.Replica("wuno96b", zone).register(store);
        }
        List<Kit.Router> routers = Kit.Router.start(store, "derby-hall", "nottingham-hall", "leicester-hall");
        Kit.sleep(4_000);
        for (Kit.Router router : routers) {
            if (ask(router, "key-one") != 200 || ask(router, null) != 401 || ask(router, "never-a-key") != 401) {
                throw new IllegalStateException("the first configuration is not in force as written");
            }
        }
        // Without the disruption one key is left.
        String left = Kit.TROUBLE ? tenant() : tenant("key-two");
        store.put("op/config", Kit.configuration(12, "wuno96b", left, route));
        Kit.note("ack of version 12: " + left);
        Kit.sleep(CONFIG_APPLY_MILLIS + 1_500);
        Set<String> barred = new HashSet<>();
        for (Kit.Router router : routers) {
            for (int i = 0; i < 8; i++) {
                for (String key : new String[] {"key-one", null, "never-a-key"}) {
                    ask(router, key, barred);
                }
            }
        }
        long run = Kit.Replica.RUNS.stream()
                .filter(done -> barred.contains(done.request().header("x-request-id")))
                .count();
        Kit.note(run + " of " + barred.size() + " requests without a valid key were run");
        return run == 0;
    }

    private static int ask(Kit.Router router, String key) throws Exception {
        return ask(router, key, new HashSet<>());
    }

    private static int ask(Kit.Router router, String key, Set<String> ids) throws Exception {
        String id = Kit.id();
        ids.add(id);
        try (Kit.Caller caller = new Kit.Caller(router.ip, 8227, 3_000)) {
            int status = caller.call("POST /puxa403/2f", Kit.headers(id, key, 1_500), new byte[600])
                    .status();
            Kit.note("caller sent " + id + " to " + router.name + " with key " + key + ": " + status);
            return status;
        }
    }
}
