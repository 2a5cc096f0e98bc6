import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers with long paths arrive beside callers with short requests. */
final class LongPaths {

    private static final int ROUTERS = 3;
    private static final int LONG_CLIENTS_PER_ROUTER = 16;
    private static final int PATH_BYTES = 15_000;
    private static final int SHORT_CLIENTS_PER_ROUTER = 10;
    private static final int TIMEOUT_MILLIS = 800;
    private static final int SLACK_MILLIS = 500;
    private static final int GIVE_UP_MILLIS = 6_000;

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
        Map<String, AtomicInteger> ran = new ConcurrentHashMap<>();
        scene.store.put(
                "op/config",
                Scene.config(
                        1,
                        List.of(Scene.route("quote", "/quote/", "unsafe", "desk", TIMEOUT_MILLIS, 1)),
                        List.of(Scene.KEY)));
        for (int i = 0; i < 3; i++) {
            scene.replica(101 + i, "i-" + i, "desk", String.valueOf("abc".charAt(i)), (request, socket) -> {
                ran.computeIfAbsent(request.header("x-request-id"), id -> new AtomicInteger())
                        .incrementAndGet();
                Thread.sleep(20);
                return Scene.answer(request, "answer to " + request.header("x-request-id"));
            });
        }
        scene.routers(ROUTERS);
        Thread.sleep(3_000);
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger still = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger ranWithoutAnswer = new AtomicInteger();
        long end = System.nanoTime() + 22_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < ROUTERS * SHORT_CLIENTS_PER_ROUTER; i++) {
            int client = i;
            Stand.Router router = scene.routers.get(i % ROUTERS);
            threads.add(Stand.daemon(() -> {
                Thread.sleep(client * 17);
                for (int n = 0; System.nanoTime() < end; n++) {
                    // A caller that reuses its connection until that is closed or has no answer.
                    try (Socket socket = connect(router)) {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        for (boolean kept = true; kept && System.nanoTime() < end; n++) {
                            kept = ask(router, socket, in, "q-" + client + "-" + n, record, ran, sent, answered,
                                    unanswered, still, ranWithoutAnswer);
                            Thread.sleep(500);
                        }
                    } catch (java.io.IOException e) {
                        record.line("short client " + client + " of " + router.ip + ": no connection: " + e);
                        Thread.sleep(200);
                    }
                }
            }));
        }
        Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
        // The same length with one slash and with all slashes.
        String path = "/quote/" + (trouble ? "/" : "p").repeat(PATH_BYTES);
        for (int i = 0; i < ROUTERS * LONG_CLIENTS_PER_ROUTER; i++) {
            int client = i;
            Stand.Router router = scene.routers.get(i % ROUTERS);
            threads.add(Stand.daemon(() -> {
                Thread.sleep(2_000 + 500L * (client / ROUTERS));
                for (int n = 0; System.nanoTime() < end - 2_000_000_000L; n++) {
                    String result;
                    try {
                        result = scene.send(
                                        router,
                                        Scene.head("POST", path, "p-" + client + "-" + n, 8_000)
                                                + "Content-Length: 5\r\n\r\nquote",
                                        GIVE_UP_MILLIS)
                                .line;
                    } catch (java.io.IOException e) {
                        result = e.toString();
                    }
                    results.computeIfAbsent(result, text -> new AtomicInteger()).incrementAndGet();
                    Thread.sleep(500);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join(45_000);
        }
        record.line("ends of the requests with long paths: " + results);
        record.line("short requests: " + sent + " sent, " + answered + " answered, " + unanswered
                + " not answered at the timeout of their route, " + still + " of them not half a second later; "
                + ranWithoutAnswer + " ran and had no answer in " + GIVE_UP_MILLIS + " ms");
        for (Stand.Router router : scene.routers) {
            record.line("router " + router.ip + " runs: " + router.process.isAlive() + ", ready: " + router.ready());
        }
        if (sent.get() < 500) {
            record.line("too few short requests were sent");
        }
        // At least eight, so that a single one is no judgement.
        boolean broken = still.get() >= 8 && still.get() * 2 > unanswered.get();
        record.line(broken ? "CONFIG broken" : "CONFIG held");
        return broken ? 1 : 0;
    }

    private static Socket connect(Stand.Router router) throws java.io.IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(router.ip, 18227), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(GIVE_UP_MILLIS);
        return socket;
    }

    /** Sends one short request and returns whether the connection may be used again. */
    private static boolean ask(
            Stand.Router router,
            Socket socket,
            InputStream in,
            String id,
            Stand.Record record,
            Map<String, AtomicInteger> ran,
            AtomicInteger sent,
            AtomicInteger answered,
            AtomicInteger unanswered,
            AtomicInteger still,
            AtomicInteger ranWithoutAnswer)
            throws java.io.IOException {
        long start = System.nanoTime();
        socket.getOutputStream()
                .write(Stand.bytes(Scene.head("POST", "/quote/1", id, 8_000) + "Content-Length: 5\r\n\r\nquote"));
        sent.incrementAndGet();
        Stand.Message answer = null;
        String result;
        try {
            answer = Stand.read(in, true);
            result = answer == null ? "closed" : answer.line;
        } catch (java.io.IOException e) {
            result = e.toString();
        }
        long millis = (System.nanoTime() - start) / 1_000_000;
        if (answer != null) {
            answered.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS) {
            unanswered.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS + SLACK_MILLIS) {
            still.incrementAndGet();
        }
        boolean hasRun = ran.containsKey(id);
        if (answer == null && hasRun) {
            ranWithoutAnswer.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS || answer == null) {
            record.line("short " + id + " to " + router.ip + ": " + result + " after " + millis + " ms, ran: " + hasRun);
        }
        return answer != null && !answer.header("connection").equalsIgnoreCase("close");
    }
}
