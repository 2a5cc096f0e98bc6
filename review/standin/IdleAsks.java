import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Clients ask the directory each few seconds on a new connection and leave the one before it to the idle time-out. */
final class IdleAsks {

    private static final int CLIENTS = 100;
    private static final long TTL_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final int FEW_CLIENTS = 7;
    private static final long END_MILLIS = 45_000;

    private record Ask(int client, long atMillis, boolean answered) {}

    private static final List<Ask> ASKS = Collections.synchronizedList(new ArrayList<>());
    private static final List<Long> READY = Collections.synchronizedList(new ArrayList<>());

    private IdleAsks() {}

    public static void main(String[] args) throws Exception {
        Kit.play(Path.of(args[0]), IdleAsks::play);
    }

    private static boolean play() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put(
                "op/config",
                Kit.configuration(
                        7,
                        "wuno96b",
                        "{\"name\":\"hule930\",\"api_keys\":[\"key-one\"],\"priority\":1}",
                        Kit.route("r-1", "/puxa403/", "unsafe", "wuno96b", 1_500, 2)));
        new Kit.Replica("wuno96b", "derby-hall").register(store);
        Kit.Router router = Kit.Router.start(store, "derby-hall").get(0);
        Kit.sleep(CONTACT_MILLIS);
        long start = Kit.now();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            Kit.thread(() -> client(router, client, start + client * TTL_MILLIS / CLIENTS));
        }
        Kit.thread(() -> {
            while (true) {
                if (router.ready()) {
                    READY.add(Kit.now());
                }
                try {
                    Kit.sleep(1_000);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        Kit.sleep(END_MILLIS);
        List<Ask> asks;
        synchronized (ASKS) {
            asks = List.copyOf(ASKS);
        }
        long answered = asks.stream().filter(Ask::answered).count();
        long last = asks.stream().filter(Ask::answered).mapToLong(Ask::atMillis).max().orElse(0);
        long triers = asks.stream()
                .filter(ask -> ask.atMillis() > last && !ask.answered())
                .map(Ask::client)
                .distinct()
                .count();
        long lastReady = READY.stream().mapToLong(Long::longValue).max().orElse(0);
        long spanMillis = lastReady - last;
        Kit.note(asks.size() + " asks, " + answered + " answered, the last of these at " + last / 1000.0 + " s; since then "
                + triers + " clients tried in vain; the router said until " + lastReady / 1000.0
                + " s that it is ready, and is alive: " + router.process().isAlive());
        return spanMillis < CONTACT_MILLIS || triers < FEW_CLIENTS;
    }

    /** Asks again and again; each connection is left open and idle, or closed where there is no disruption. */
    private static void client(Kit.Router router, int client, long firstMillis) {
        try {
            Kit.sleep(firstMillis - Kit.now());
            while (true) {
                long at = Kit.now();
                boolean answered = false;
                String what;
                Kit.Caller caller = null;
                try {
                    caller = new Kit.Caller(router.ip, 8224, 1_000);
                    Kit.Message answer = caller.call(
                            "GET /v1/resolve?name=ficu95.example&region=midlands&zone=derby-hall", Map.of(), new byte[0]);
                    answered = answer.status() == 200;
                    what = answer.status() + " " + answer.text();
                } catch (IOException e) {
                    what = e.toString();
                }
                ASKS.add(new Ask(client, at, answered));
                Kit.note("client " + client + " asked: " + what);
                if (!Kit.TROUBLE && caller != null) {
                    caller.close();
                }
                Kit.sleep(TTL_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            Kit.note("client " + client + ": " + e);
        }
    }
}
