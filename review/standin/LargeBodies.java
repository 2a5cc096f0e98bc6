import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Callers send the largest bodies that are allowed at the same time; others send small requests beside them. */
final class LargeBodies {

    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int LATE_MILLIS = 500;
    private static final int UPLOADS = 24;
    private static final int CALLERS = 20;
    private static final int LARGEST_BODY = 4_194_304;
    private static final int USUAL_BODY = 38_000;

    /** Bytes that one caller sends in a tenth of a second; all together use a third of the router's link. */
    private static final int PIECE = 180_000;

    private static final long END_MILLIS = 14_000;

    private record Answer(String id, long tookMillis, String what) {}

    private static final List<Answer> ANSWERS = Collections.synchronizedList(new ArrayList<>());

    private LargeBodies() {}

    public static void main(String[] args) throws Exception {
        Kit.play(Path.of(args[0]), LargeBodies::play);
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
        Kit.note("uploads begin");
        for (int i = 0; i < UPLOADS; i++) {
            Kit.thread(() -> upload(routers.get(0), Kit.TROUBLE ? LARGEST_BODY : USUAL_BODY));
        }
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
                + routers.get(0).process().isAlive());
        for (String line : routers.get(0).log()) {
            if (line.contains("process_stalled") || line.contains("OutOfMemory")) {
                Kit.note("log of the router: " + line.replaceAll("^.*\"event\"", "\"event\""));
            }
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

    /** Sends one request with a body, a piece each tenth of a second. */
    private static void upload(Kit.Router router, int bytes) {
        String id = Kit.id();
        try (Kit.Caller caller = new Kit.Caller(router.ip, 8227, 15_000)) {
            StringBuilder head = new StringBuilder("POST /bulk/2f HTTP/1.1\r\nHost: ficu95.example\r\n");
            Kit.headers(id, "key-one", 15_000).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            caller.out.write(Kit.bytes(head + "Content-Length: " + bytes + "\r\n\r\n"));
            for (int sent = 0; sent < bytes; sent += PIECE) {
                caller.out.write(new byte[Math.min(PIECE, bytes - sent)]);
                Kit.sleep(100);
            }
            Kit.note("upload " + id + " of " + bytes + " bytes sent");
            Kit.note("upload " + id + ": " + caller.read().first);
        } catch (IOException | InterruptedException e) {
            Kit.note("upload " + id + ": " + e);
        }
    }
}
