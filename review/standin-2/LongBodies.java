import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers with long bodies arrive beside callers with short requests. */
final class LongBodies {

    private static final int ROUTERS = 3;
    private static final int UPLOADS_PER_ROUTER = 30;
    private static final int STARTS_PER_SECOND_AND_ROUTER = 3;
    private static final int BYTES_PER_SECOND = 400_000;
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int USUAL_BODY_BYTES = 38_000;
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
                        List.of(
                                Scene.route("quote", "/quote/", "unsafe", "desk", TIMEOUT_MILLIS, 1),
                                Scene.route("review", "/review/", "unsafe", "desk", 15_000, 1)),
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
        Map<String, AtomicInteger> uploads = new ConcurrentHashMap<>();
        int length = trouble ? MAX_BODY_BYTES : USUAL_BODY_BYTES;
        for (int i = 0; i < ROUTERS * UPLOADS_PER_ROUTER; i++) {
            int number = i;
            Stand.Router router = scene.routers.get(i % ROUTERS);
            threads.add(Stand.daemon(() -> {
                Thread.sleep(1_000 + 1_000L * (number / ROUTERS) / STARTS_PER_SECOND_AND_ROUTER);
                String result;
                try {
                    result = upload(router, "u-" + number, length);
                } catch (java.io.IOException e) {
                    result = e.toString();
                }
                record.line("body of " + length + " bytes u-" + number + " to " + router.ip + ": " + result);
                uploads.computeIfAbsent(result, text -> new AtomicInteger()).incrementAndGet();
            }));
        }
        for (Thread thread : threads) {
            thread.join(45_000);
        }
        record.line("ends of the long requests: " + uploads);
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

    /** Sends one long request at an even rate and returns the first line of its answer. */
    private static String upload(Stand.Router router, String id, int length) throws java.io.IOException, InterruptedException {
        try (Socket socket = connect(router)) {
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            out.write(Stand.bytes(Scene.head("POST", "/review/1", id, 30_000) + "Content-Length: " + length + "\r\n\r\n"));
            byte[] part = new byte[16_384];
            long start = System.nanoTime();
            for (int done = 0; done < length; ) {
                int count = Math.min(part.length, length - done);
                out.write(part, 0, count);
                done += count;
                long due = done * 1_000L / BYTES_PER_SECOND - (System.nanoTime() - start) / 1_000_000;
                if (due > 0) {
                    Thread.sleep(due);
                }
            }
            Stand.Message answer = Stand.read(new BufferedInputStream(socket.getInputStream()), true);
            return answer == null ? "closed" : answer.line;
        }
    }
}
