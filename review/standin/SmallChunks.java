import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** One caller sends a body in small chunks; others send small requests beside it. */
final class SmallChunks {

    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int LATE_MILLIS = 500;
    private static final int CALLERS = 20;
    private static final int BODY = 2_000_000;
    private static final int CHUNK = 1;
    private static final int USUAL_CHUNK = 4_096;
    private static final long WATCH_MILLIS = 30_000;
    private static final long END_MILLIS = 14_000;

    /** Bytes of the connection that the caller sends in a twentieth of a second. */
    private static final int PIECE = 120_000;

    private record Answer(String id, long tookMillis, String what) {}

    private static final List<Answer> ANSWERS = Collections.synchronizedList(new ArrayList<>());

    private SmallChunks() {}

    public static void main(String[] args) throws Exception {
        Kit.play(Path.of(args[0]), SmallChunks::play);
    }

    private static boolean play() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put(
                "op/config",
                Kit.configuration(
                        7,
                        "wuno96b",
                        "{\"name\":\"hule930\",\"api_keys\":[\"key-one\"],\"priority\":1}",
                        Kit.route("r-1", "/puxa403/", "unsafe", "wuno96b", TIMEOUT_MILLIS, 2),
                        Kit.route("r-2", "/bulk/", "unsafe", "wuno96b", 15_000, 2)));
        for (String zone : List.of("derby-hall", "nottingham-hall", "leicester-hall")) {
            new Kit.Replica("wuno96b", zone).register(store);
        }
        List<Kit.Router> routers = Kit.Router.start(store, "derby-hall", "nottingham-hall");
        Kit.sleep(4_000);
        long start = Kit.now();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            threads.add(Kit.thread(() -> small(routers.get(0), start + END_MILLIS)));
        }
        Kit.sleep(2_000);
        Kit.note("the body begins");
        Kit.thread(() -> upload(routers.get(0), Kit.TROUBLE ? CHUNK : USUAL_CHUNK));
        for (Thread thread : threads) {
            thread.join();
        }
        long over = ANSWERS.stream()
                .filter(answer -> answer.tookMillis() > TIMEOUT_MILLIS)
                .count();
        long late = ANSWERS.stream()
                .filter(answer -> answer.tookMillis() > TIMEOUT_MILLIS + LATE_MILLIS)
                .count();
        Kit.note(ANSWERS.size() + " small requests; " + over + " had no answer at their route's " + TIMEOUT_MILLIS
                + " ms, " + late + " of these had none " + LATE_MILLIS + " ms later; the process is alive: "
                + routers.get(0).process().isAlive() + ", ready: " + routers.get(0).ready());
        for (String line : routers.get(0).log()) {
            if (line.contains("process_stalled") || line.contains("OutOfMemory")) {
                Kit.note("log of the router: " + line.replaceAll("^.*\"event\"", "\"event\""));
            }
        }
        Boolean before = null;
        for (long until = Kit.now() + WATCH_MILLIS; Kit.now() < until; Kit.sleep(1_000)) {
            boolean ready = routers.get(0).ready();
            if (before == null || ready != before) {
                Kit.note("the router is ready: " + ready + ", alive: " + routers.get(0).process().isAlive());
            }
            before = ready;
        }
        return late < 8 || 2 * late <= over;
    }

    /** Sends small requests on one kept connection, each with more time than its route allows. */
    private static void small(Kit.Router router, long endMillis) {
        try (Kit.Caller caller = new Kit.Caller(router.ip, 8227, 8_000)) {
            while (Kit.now() < endMillis) {
                String id = Kit.id();
                long sent = Kit.now();
                String what;
                try {
                    what = Integer.toString(caller.call("POST /puxa403/2f", Kit.headers(id, "key-one", 8_000), new byte[600])
                            .status());
                } catch (IOException e) {
                    what = e.toString();
                }
                ANSWERS.add(new Answer(id, Kit.now() - sent, what));
                Kit.note("caller sent " + id + ": " + what + " after " + (Kit.now() - sent) + " ms");
                if (what.length() > 3) {
                    return;
                }
                Kit.sleep(150);
            }
        } catch (IOException | InterruptedException e) {
            Kit.note("caller: " + e);
        }
    }

    /** Sends one request whose body is in chunks of a size. */
    private static void upload(Kit.Router router, int chunkBytes) {
        String id = Kit.id();
        try (Kit.Caller caller = new Kit.Caller(router.ip, 8227, 15_000)) {
            StringBuilder head = new StringBuilder("POST /bulk/2f HTTP/1.1\r\nHost: ficu95.example\r\n");
            Kit.headers(id, "key-one", 15_000).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            caller.out.write(Kit.bytes(head + "Transfer-Encoding: chunked\r\n\r\n"));
            byte[] chunk = Kit.bytes(Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n");
            int perPiece = Math.max(1, PIECE / chunk.length);
            byte[] piece = new byte[perPiece * chunk.length];
            for (int i = 0; i < perPiece; i++) {
                System.arraycopy(chunk, 0, piece, i * chunk.length, chunk.length);
            }
            int sent = 0;
            while (sent < BODY) {
                int chunks = Math.min(perPiece, (BODY - sent) / chunkBytes + 1);
                caller.out.write(piece, 0, chunks * chunk.length);
                sent += chunks * chunkBytes;
                Kit.sleep(50);
            }
            Kit.note("body " + id + " of " + sent + " bytes sent but for its end");
            Kit.sleep(500);
            caller.out.write(Kit.bytes("0\r\n\r\n"));
            Kit.note("body " + id + ": " + caller.read().first);
        } catch (IOException | InterruptedException e) {
            Kit.note("body " + id + ": " + e);
        }
    }
}
