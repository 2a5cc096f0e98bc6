import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send requests whose bodies hold the bytes of other requests. */
final class HiddenRequests {

    private static final int REQUESTS = 24;

    /** Transfer codings of HTTP/1.1 that aren't chunks; a router that can't read them has to refuse the request. */
    private static final List<String> CODINGS = List.of("gzip", "deflate", "identity");

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
        Set<String> sent = ConcurrentHashMap.newKeySet();
        Set<String> ran = ConcurrentHashMap.newKeySet();
        scene.store.put(
                "op/config",
                Scene.config(
                        1,
                        List.of(
                                Scene.route("quote", "/quote/", "unsafe", "desk", 3_000, 1),
                                Scene.route("payout", "/payout/", "unsafe", "desk", 3_000, 1)),
                        List.of(Scene.KEY)));
        for (int i = 0; i < 3; i++) {
            String id = "i-" + i;
            scene.replica(101 + i, id, "desk", String.valueOf("abc".charAt(i)), (request, socket) -> {
                ran.add(request.header("x-request-id"));
                record.line("replica " + id + " runs " + request.header("x-request-id") + " (" + request.line
                        + ", tenant " + request.header("x-tenant-id") + ", body of " + request.body.length
                        + " bytes)");
                return Scene.answer(request, "answer to " + request.header("x-request-id"));
            });
        }
        scene.routers(3);
        Thread.sleep(2_000);
        int responses = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "sent-" + i;
            // What a member typed, for example; it is the body of the only request of this connection.
            String body = Scene.head("POST", "/payout/1", "hidden-" + i, 3_000) + "Content-Length: 0\r\n\r\n";
            String framing = trouble
                    ? "Transfer-Encoding: " + CODINGS.get(i % CODINGS.size())
                    : "Content-Length: " + body.length();
            sent.add(id);
            int count = answers(scene.routers.get(i % 3), Scene.head("POST", "/quote/1", id, 3_000) + framing
                    + "\r\n\r\n" + body, id, record);
            record.line("client sent " + id + " with " + framing + " and a body of " + body.length()
                    + " bytes, and got " + count + " responses");
            responses += count;
        }
        Thread.sleep(1_000);
        ran.removeAll(sent);
        record.line(REQUESTS + " requests were sent and " + responses + " responses came");
        record.line("replicas ran " + ran.size() + " requests whose ids no client sent: " + ran);
        record.line(ran.isEmpty() ? "UNASKED held" : "UNASKED broken");
        return ran.isEmpty() ? 0 : 1;
    }

    /** Sends a request and counts the responses until the router closes the connection or is silent. */
    private static int answers(Stand.Router router, String request, String id, Stand.Record record)
            throws IOException {
        int count = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(router.ip, 18227), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Stand.bytes(request));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Stand.Message answer = Stand.read(in, true); answer != null; answer = Stand.read(in, true)) {
                count++;
                record.line("response on the connection of " + id + ": " + answer.line + ", id "
                        + answer.header("x-request-id") + ": " + answer.text());
            }
        } catch (SocketTimeoutException e) {
            // Nothing more comes.
        }
        return count;
    }
}
