import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A new version adds a tenant whose name has a space, and takes away a key of another tenant. */
final class TenantName {

    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private TenantName() {}

    public static void main(String[] args) throws Exception {
        Kit.play(Path.of(args[0]), TenantName::play);
    }

    private static String tenant(String name, String... keys) {
        List<String> quoted = new ArrayList<>();
        for (String key : keys) {
            quoted.add("\"" + key + "\"");
        }
        return "{\"name\":\"" + name + "\",\"api_keys\":[" + String.join(",", quoted) + "],\"priority\":1}";
    }

    private static boolean play() throws Exception {
        Kit.Store store = new Kit.Store();
        String route = Kit.route("r-1", "/puxa403/", "unsafe", "wuno96b", 1500, 2);
        store.put("op/config", Kit.configuration(7, "wuno96b", tenant("hule930", "key-one", "key-two"), route));
        for (String zone : List.of("derby-hall", "nottingham-hall", "leicester-hall")) {
            new Kit.Replica("wuno96b", zone).register(store);
        }
        List<Kit.Router> routers = Kit.Router.start(store, "derby-hall", "nottingham-hall", "leicester-hall");
        Kit.sleep(4_000);
        for (Kit.Router router : routers) {
            if (ask(router, "key-one", new HashSet<>()) != 200) {
                throw new IllegalStateException("the first configuration is not in force as written");
            }
        }
        String added = tenant(Kit.TROUBLE ? "Hallam & Prior" : "hallam-prior", "key-new");
        store.put(
                "op/config",
                Kit.configuration(12, "wuno96b", tenant("hule930", "key-two") + "," + added, route));
        Kit.note("ack of version 12: without key-one, with " + added);
        Kit.sleep(CONFIG_APPLY_MILLIS + 1_500);
        Set<String> dropped = new HashSet<>();
        int refused = 0;
        int ready = 0;
        for (Kit.Router router : routers) {
            ready += router.ready() ? 1 : 0;
            for (int i = 0; i < 8; i++) {
                ask(router, "key-one", dropped);
                refused += ask(router, "key-new", new HashSet<>()) == 401 ? 1 : 0;
            }
        }
        long run = Kit.Replica.RUNS.stream()
                .filter(done -> dropped.contains(done.request().header("x-request-id")))
                .count();
        Kit.note(run + " of " + dropped.size() + " requests with the dropped key were run, " + refused + " of "
                + dropped.size() + " with the added key were answered 401; ready routers: " + ready);
        return run == 0 && refused == 0;
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
