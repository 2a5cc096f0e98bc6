import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine that is stopped takes streams; then the model replicas fill up with the requests of the others. */
final class StoppedStream {

    private static final int ANSWER = 2_000;
    private static final int HISTORIES = 12;
    private static final int AFTER_MILLIS = 3_100;

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
        Set<String> passed = ConcurrentHashMap.newKeySet();
        String note = Scene.route("note", "/note/", "streaming", "llm", 10_000, 2);
        String history = Scene.route("history", "/history/", "streaming", "llm", 10_000, 2)
                .replace("\"target_latency_ms\":100", "\"target_latency_ms\":1500")
                .replace("\"gap_aim_ms\":250", "\"gap_aim_ms\":600");
        scene.store.put(
                "op/config",
                Scene.config(1, List.of(note, history), List.of(Scene.KEY))
                        .replace("\"services\":[", "\"services\":[" + Engine.service("llm") + ","));
        for (int i = 0; i < 2; i++) {
            Engine engine = new Engine();
            scene.replica(110 + i, "e-" + i, "llm", String.valueOf("abc".charAt(i)), (request, socket) -> {
                if (!request.header("x-request-id").isEmpty()) {
                    passed.add(request.header("x-request-id"));
                }
                return engine.handle(request, socket);
            });
        }
        scene.routers(3);
        Thread.sleep(3_500);
        List<Thread> threads = new ArrayList<>();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        Stand.Router stopped = scene.routers.get(0);
        for (int i = 0; i < 40; i++) {
            stream(scene, scene.routers.get(i % 3), "warm-" + i, "/note/1", 1_000, 500, record, passed, null, null);
        }
        long start = System.nanoTime();
        if (trouble) {
            stopped.signal("TERM");
            record.line("SIGTERM to router " + stopped.ip);
        }
        Thread.sleep(Math.max(0, AFTER_MILLIS - (System.nanoTime() - start) / 1_000_000));
        for (int i = 0; i < 4; i++) {
            String id = "note-" + i;
            threads.add(Stand.daemon(() -> stream(
                    scene, stopped, id, "/note/1", 1_000, ANSWER, record, passed, lost, whole)));
        }
        Thread.sleep(150);
        for (int i = 0; i < HISTORIES; i++) {
            String id = "history-" + i;
            Stand.Router router = scene.routers.get(1 + i % 2);
            threads.add(Stand.daemon(
                    () -> stream(scene, router, id, "/history/1", 45_000, 1_600, record, passed, null, null)));
        }
        for (Thread thread : threads) {
            thread.join(15_000);
        }
        record.line("of 4 streams sent to the stopped router " + whole + " were whole, " + lost
                + " had been passed on and ended without a complete answer");
        record.line(lost.get() > 0 ? "LOST broken" : "LOST held");
        return lost.get() > 0 ? 1 : 0;
    }

    private static void stream(
            Scene scene,
            Stand.Router router,
            String id,
            String target,
            int prompt,
            int answer,
            Stand.Record record,
            Set<String> passed,
            AtomicInteger lost,
            AtomicInteger whole) {
        long start = System.nanoTime();
        String result;
        boolean complete = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.ip, 18227), 1_000);
            socket.setSoTimeout(11_000);
            socket.getOutputStream()
                    .write(Stand.bytes(Scene.head("POST", target, id, 10_000) + "X-Model: m\r\nX-Token-Usage: " + prompt
                            + "," + answer + "\r\nX-Prompt-Prefix-Hash: " + Integer.toHexString(id.hashCode()) + ":"
                            + prompt + "\r\nContent-Length: 4\r\n\r\nnote"));
            Stand.Message message = Stand.read(new BufferedInputStream(socket.getInputStream()), true);
            complete = message != null && message.whole;
            result = message == null
                    ? "closed"
                    : message.line + (message.status() == 200 ? "" : " " + message.text())
                            + (message.whole ? ", whole" : ", cut after " + message.body.length + " bytes");
        } catch (IOException e) {
            result = e.toString();
        }
        if (lost != null || !complete) {
            record.line(id + " to " + router.ip + ": " + result + " after " + (System.nanoTime() - start) / 1_000_000
                    + " ms, passed on: " + passed.contains(id));
        }
        if (lost != null && !complete && passed.contains(id)) {
            lost.incrementAndGet();
        }
        if (whole != null && complete && result.contains(" 200 ")) {
            whole.incrementAndGet();
        }
    }
}
