import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stand-ins for the platform's store, replicas and clients, and the start of routers; only the JDK is needed. */
final class Stand {

    private Stand() {}

    /** Writes what happens to record.txt. */
    static final class Record implements Closeable {
        private final PrintWriter out;
        private final long start = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - start) / 1e9, text);
            out.flush();
        }

        @Override
        public void close() {
            out.close();
        }
    }

    /** One HTTP message: its first line, headers with lower-case names, and body. */
    static final class Message {
        String line;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        /** Whether a response ended as its headers announced. */
        boolean whole = true;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                if (text.size() == 0) {
                    return null;
                }
                throw new EOFException();
            }
            if (b == '\n') {
                String line = text.toString(StandardCharsets.ISO_8859_1);
                return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
            }
            text.write(b);
        }
    }

    /** Reads the first line and the headers; {@code null} at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        message.line = readLine(in);
        if (message.line == null) {
            return null;
        }
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.merge(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(),
                    (a, b) -> a + "," + b);
        }
        return message;
    }

    /** Reads the body of a request, or of a response that is not to HEAD. */
    static void readBody(InputStream in, Message message, boolean response) throws IOException {
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            try {
                while (true) {
                    int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    all.write(chunk);
                    if (chunk.length < size) {
                        throw new EOFException();
                    }
                    if (size == 0) {
                        while (!readLine(in).isEmpty()) {
                            continue;
                        }
                        break;
                    }
                    readLine(in);
                }
            } catch (IOException | RuntimeException e) {
                message.whole = false;
            }
            message.body = all.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            int length = Integer.parseInt(message.header("content-length"));
            message.body = in.readNBytes(length);
            message.whole = message.body.length == length;
        } else if (response) {
            message.body = in.readAllBytes();
        }
    }

    static Message read(InputStream in, boolean response) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            readBody(in, message, response);
        }
        return message;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Handles one request; returns the response's bytes, or {@code null} to close the connection. */
    interface Handler {
        byte[] handle(Message request, Socket socket) throws Exception;
    }

    /** A server with a thread for each connection. */
    static class Server implements Closeable {
        final ServerSocket listener = new ServerSocket();
        final List<Socket> sockets = new ArrayList<>();
        final Handler handler;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(ip, port), 1024);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    daemon(() -> serve(socket));
                }
            });
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in, false); request != null; request = read(in, false)) {
                    byte[] answer = handler.handle(request, socket);
                    if (answer == null) {
                        return;
                    }
                    socket.getOutputStream().write(answer);
                    socket.getOutputStream().flush();
                }
            } catch (IOException e) {
                // The other side has left.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // Ends the thread; the case judges by what was recorded.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The platform's store. */
    static final class Store implements Closeable {
        private record Item(String key, byte[] value, long revision, long created) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Item> history = new ArrayList<>();
        private long revision = 100;
        final Server server;

        Store(String ip, int port) throws IOException {
            server = new Server(ip, port, (request, socket) -> answer(request));
        }

        /** Writes an item, or deletes it if the value is {@code null}. */
        synchronized void put(String key, String value) {
            revision++;
            Item before = items.get(key);
            Item item = new Item(
                    key,
                    value == null ? null : value.getBytes(StandardCharsets.UTF_8),
                    revision,
                    before == null ? revision : before.created());
            if (value == null) {
                items.remove(key);
            } else {
                items.put(key, item);
            }
            history.add(item);
            notifyAll();
        }

        private static String json(Item item) {
            return item.value() == null
                    ? "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"deleted\":true}"
                    : "{\"key\":\"" + item.key() + "\",\"value\":\""
                            + Base64.getEncoder().encodeToString(item.value()) + "\",\"revision\":" + item.revision()
                            + ",\"create_rev\":" + item.created() + ",\"lease\":0";
        }

        private synchronized byte[] answer(Message request) throws InterruptedException {
            String target = request.line.split(" ")[1];
            int question = target.indexOf('?');
            String path = question < 0 ? target : target.substring(0, question);
            Map<String, String> query = new LinkedHashMap<>();
            if (question >= 0) {
                for (String part : target.substring(question + 1).split("&")) {
                    int at = part.indexOf('=');
                    query.put(
                            part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
                }
            }
            String prefix = query.getOrDefault("prefix", "");
            switch (path) {
                case "/v1/kv-key":
                    Item item = items.get(query.get("key"));
                    return item == null
                            ? json(404, "{}")
                            : json(200, json(item) + ",\"current_rev\":" + revision + "}");
                case "/v1/kv-range":
                    StringBuilder page = new StringBuilder("{\"items\":[");
                    int count = 0;
                    for (Item each : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                        if (each.key().startsWith(prefix)) {
                            page.append(count++ == 0 ? "" : ",").append(json(each)).append('}');
                        }
                    }
                    return json(200, page + "],\"has_more\":false,\"current_rev\":" + revision + "}");
                case "/v1/kv-watch":
                    long after = Long.parseLong(query.get("after"));
                    long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
                    while (true) {
                        StringBuilder events = new StringBuilder();
                        for (Item each : history) {
                            if (each.revision() > after && each.key().startsWith(prefix)) {
                                events.append(events.length() == 0 ? "" : ",").append(json(each));
                                events.append(each.value() == null ? "" : "}");
                            }
                        }
                        long left = (end - System.nanoTime()) / 1_000_000;
                        if (events.length() > 0 || left <= 0) {
                            return json(200, "{\"events\":[" + events + "],\"current_rev\":" + revision + "}");
                        }
                        wait(left);
                    }
                default:
                    return json(404, "{}");
            }
        }

        private static byte[] json(int status, String body) {
            return bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A router as it is deployed. */
    static final class Router {
        final String ip;
        final Path settings;
        final Path output;
        final List<String> command;
        Process process;

        Router(Path root, Path folder, int number, String ip, String zone, List<String> seeds, String store)
                throws IOException {
            this.ip = ip;
            this.settings = folder.resolve("settings-" + number + ".json");
            this.output = folder.resolve("router-" + number + ".log");
            this.command = runLine(root);
            writeSettings(number, zone, seeds, store);
        }

        void writeSettings(int number, String zone, List<String> seeds, String store) throws IOException {
            String text = "{\"node_name\":\"front-" + zone + "-" + number + "\",\"role\":\"router\","
                    + "\"machine_class\":\"front\",\"serves\":[\"front\",\"control\",\"directory\"],"
                    + "\"ip\":\"" + ip + "\",\"zone\":\"" + zone + "\",\"region\":\"r\","
                    + "\"zones\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},"
                    + "\"listen\":{\"front\":\"" + ip + ":18227\",\"ready\":\"" + ip + ":18220\",\"control\":\"" + ip
                    + ":18229\",\"directory\":\"" + ip + ":18224\"},\"internal_ports\":[17340,17355],"
                    + "\"seeds\":[" + String.join(",", seeds.stream().map(s -> "\"" + s + "\"").toList()) + "],"
                    + "\"bootstrap\":true,\"tolerance_member\":false,"
                    + "\"limits\":{\"cpu_share\":0.75,\"cpu_cores\":1,\"memory_mb\":430,\"max_fds\":4200,"
                    + "\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
                    + "\"entry\":\"directory\",\"heartbeat_ms\":1200,\"fault_tolerance\":{\"machines\":1},"
                    + "\"bounds\":{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,"
                    + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
                    + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"skew_max_ms\":5000,"
                    + "\"strict_revoke\":false,\"revoke_ms\":5000,\"retry_budget_ratio\":0.2,"
                    + "\"budget_window_s\":10,\"retry_budget_slack\":100,\"recovery_s\":12,\"pass_ms\":120,"
                    + "\"again_s\":0,\"stall_ms\":1500,\"hold_max_ms\":20000,\"free_ms\":4000,"
                    + "\"idle_max_ms\":9000,\"ttl_max_s\":5},"
                    + "\"platform\":{\"address\":\"" + store + "\",\"form\":\"read\",\"writes_per_s\":400,"
                    + "\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}";
            Path next = settings.resolveSibling(settings.getFileName() + ".next");
            Files.writeString(next, text);
            Files.move(next, settings, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        static List<String> runLine(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
                }
            }
            throw new IOException("no run line");
        }

        void start(Path root) throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("APRICOTSTACK_SETTINGS", settings.toString());
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = builder.start();
        }

        boolean ready() {
            try {
                return call(ip, 18220, "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 2_000).status()
                        == 200;
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        void awaitReady(long millis) throws Exception {
            long end = System.nanoTime() + millis * 1_000_000;
            while (!ready()) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException("router " + ip + " did not become ready");
                }
                Thread.sleep(100);
            }
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        void end() throws Exception {
            if (process != null) {
                process.destroyForcibly();
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }
    }

    /** Sends bytes over a new connection and reads one response. */
    static Message call(String ip, int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 2_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            out.write(bytes(request));
            out.flush();
            Message answer = read(new BufferedInputStream(socket.getInputStream()), true);
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }

    /** Returns a loopback network that this process uses alone, without the last number. */
    static String network() {
        long pid = ProcessHandle.current().pid();
        return "127." + (20 + pid % 200) + "." + (pid / 200 % 250 + 1) + ".";
    }

    static String server(String service, String address, String zone, String state, int sequence) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":11,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}";
    }
}
