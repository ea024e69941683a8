import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;

/**
 * Stand-ins for the cases of the review: the platform's store, servers of a plain service and clients, as
 * ../given/kit/more/system/PROTOCOL.md describes them, and a launcher of the gateway with the command of the deploy file.
 */
final class Lab {
    static final long START = System.nanoTime();
    static final Random RANDOM = new Random(24);
    private static PrintWriter record;
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    static Path temp;

    private Lab() {}

    static long now() { return (System.nanoTime() - START) / 1_000_000; }

    static boolean trouble() { return !"0".equals(System.getenv("TROUBLE")); }

    static synchronized void log(String format, Object... args) {
        String line = String.format(Locale.ROOT, "%7d ms  ", now()) + String.format(Locale.ROOT, format, args);
        record.println(line);
        record.flush();
    }

    static void sleep(long ms) {
        try { Thread.sleep(Math.max(0, ms)); } catch (InterruptedException e) { throw new RuntimeException(e); }
    }

    static void daemon(Runnable task) {
        Thread t = new Thread(null, task, "lab", 256 * 1024);
        t.setDaemon(true);
        t.start();
    }

    private static final Set<Integer> PORTS = new HashSet<>();

    /** Returns a port that nothing uses, from below the range from which systems take ports for connections. */
    static synchronized int freePort() throws IOException {
        Random random = new Random();
        while (true) {
            int port = 12_000 + random.nextInt(18_000);
            if (!PORTS.add(port)) continue;
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) { return port; } catch (BindException e) { /* in use */ }
        }
    }

    interface Body { int run() throws Exception; }

    /** Runs a case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String folder, Body body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        temp = Files.createTempDirectory("review");
        int code = 2;
        daemon(() -> { sleep(115_000); log("time limit reached"); end(2); });
        try {
            log("TROUBLE=%s", trouble() ? "1" : "0");
            code = body.run();
        } catch (Throwable e) {
            StringWriter w = new StringWriter();
            e.printStackTrace(new PrintWriter(w));
            log("could not run: %s", w);
        }
        log("result: exit code %d (%s)", code, code == 1 ? "rule broken" : code == 0 ? "rule held" : "could not run");
        end(code);
    }

    static void end(int code) {
        for (Process p : PROCESSES) p.destroyForcibly();
        try {
            for (Process p : PROCESSES) p.waitFor(3, TimeUnit.SECONDS);
            try (var files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        } catch (Exception e) { log("clean-up: %s", e); }
        Runtime.getRuntime().halt(code);
    }

    // ---- gateway -------------------------------------------------------------------------------------------------

    /** Process of the project, started with the command and the template of the deploy file. */
    static final class Gateway {
        final String id;
        final String zone;
        final int front = freePort(), ready = freePort(), control = freePort(), admin = freePort();
        final int storePort;
        Process process;
        /** Times at which the process was started and told to stop. */
        final List<Long> starts = new CopyOnWriteArrayList<>(), stops = new CopyOnWriteArrayList<>();

        Gateway(String id, String zone, int storePort) throws IOException { this.id = id; this.zone = zone; this.storePort = storePort; }

        private String fill(String template) {
            Map<String, String> v = new HashMap<>();
            v.put("node", id); v.put("zone", zone); v.put("ip", "127.0.0.1");
            v.put("internal_ports.0", "" + admin);
            v.put("bounds.grace_s", "8"); v.put("bounds.cold_over", "1.5"); v.put("bounds.cold_slack", "5");
            v.put("bounds.retry_budget_ratio", "0.2"); v.put("bounds.budget_slack", "88"); v.put("bounds.budget_window_s", "10");
            v.put("provider.address", "127.0.0.1:" + storePort);
            v.put("listen.front", "127.0.0.1:" + front); v.put("listen.ready", "127.0.0.1:" + ready);
            v.put("listen.control", "127.0.0.1:" + control); v.put("seeds", "127.0.0.1:" + control);
            String out = template;
            for (var e : v.entrySet()) out = out.replace("{{" + e.getKey() + "}}", e.getValue());
            if (out.contains("{{")) throw new IllegalStateException("a field of the template is not known here: " + out);
            return out;
        }

        void start() throws IOException {
            Path root = Path.of("").toAbsolutePath();
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
            Path settings = temp.resolve(id + ".ini");
            Files.writeString(settings, fill(Files.readString(root.resolve("deploy/gateway.ini"))));
            List<String> command = new ArrayList<>(List.of(run.replace("/etc/cicadaturn/local.toml", settings.toString()).split(" ")));
            process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(id + ".log").toFile())).start();
            PROCESSES.add(process);
            starts.add(now());
            log("%s started, process %d", id, process.pid());
        }

        /** Status of GET /ready, or 0 if there is no answer. */
        int ready() {
            try (Socket s = connect(ready)) {
                s.setSoTimeout(1000);
                send(s, "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", new byte[0]);
                Message m = read(s.getInputStream());
                return m == null ? 0 : m.status();
            } catch (IOException e) { return 0; }
        }

        void signal(String name) throws Exception {
            if (name.equals("TERM") || name.equals("KILL")) stops.add(now());
            new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
            log("%s: SIG%s", id, name);
        }

        void awaitReady(long limit) {
            long until = now() + limit;
            while (ready() != 200) {
                if (now() > until) throw new IllegalStateException(id + " is not ready; its log: " + tail(20));
                sleep(50);
            }
            log("%s is ready", id);
        }

        String tail(int lines) {
            try {
                List<String> all = Files.readAllLines(temp.resolve(id + ".log"));
                return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
            } catch (IOException e) { return e.toString(); }
        }

        List<String> logLines(String part) throws IOException {
            List<String> found = new ArrayList<>();
            for (String l : Files.readAllLines(temp.resolve(id + ".log"))) if (l.contains(part)) found.add(l);
            return found;
        }
    }

    // ---- HTTP ----------------------------------------------------------------------------------------------------

    static final class Message {
        String first = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) { return headers.get(name); }
        int status() { String[] p = first.split(" "); return p.length > 1 ? Integer.parseInt(p[1]) : 0; }
        String method() { return first.split(" ")[0]; }
        String target() { return first.split(" ")[1]; }
        boolean closes() { return "close".equalsIgnoreCase(header("Connection")); }
    }

    static Socket connect(int port) throws IOException {
        Socket s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        return s;
    }

    static void send(Socket s, String head, byte[] body) throws IOException {
        byte[] h = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(h, h.length + body.length);
        System.arraycopy(body, 0, all, h.length, body.length);
        s.getOutputStream().write(all);
        s.getOutputStream().flush();
    }

    static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        int c;
        while ((c = in.read()) != -1) {
            if (c == '\n') return b.length() > 0 && b.charAt(b.length() - 1) == '\r' ? b.substring(0, b.length() - 1) : b.toString();
            b.append((char) c);
        }
        return b.length() == 0 ? null : b.toString();
    }

    /** Reads one message; null if the connection ended before its first byte. An incomplete body is told by complete. */
    static Message read(InputStream in) throws IOException {
        Message m = new Message();
        String l = line(in);
        if (l == null) return null;
        m.first = l;
        while ((l = line(in)) != null && !l.isEmpty()) {
            int i = l.indexOf(':');
            m.headers.put(l.substring(0, i).trim(), l.substring(i + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) break;
                int n = Integer.parseInt(size.trim(), 16);
                byte[] part = in.readNBytes(n);
                out.write(part);
                if (part.length < n) break;
                line(in);
                if (n == 0) { m.complete = true; break; }
            }
            m.body = out.toByteArray();
            return m;
        }
        String length = m.header("Content-Length");
        int n = length == null ? 0 : Integer.parseInt(length);
        m.body = in.readNBytes(n);
        m.complete = m.body.length == n;
        return m;
    }

    // ---- JSON ----------------------------------------------------------------------------------------------------

    static final class Json {
        private final String s;
        private int i;

        private Json(String s) { this.s = s; }

        static Object parse(String s) { return new Json(s).value(); }

        private void space() { while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++; }

        private Object value() {
            space();
            char c = s.charAt(i);
            if (c == '{') {
                Map<String, Object> m = new LinkedHashMap<>();
                i++;
                for (space(); s.charAt(i) != '}'; space()) {
                    if (s.charAt(i) == ',') { i++; space(); }
                    String k = string();
                    space();
                    i++;
                    m.put(k, value());
                }
                i++;
                return m;
            }
            if (c == '[') {
                List<Object> l = new ArrayList<>();
                i++;
                for (space(); s.charAt(i) != ']'; space()) {
                    if (s.charAt(i) == ',') i++;
                    l.add(value());
                }
                i++;
                return l;
            }
            if (c == '"') return string();
            int from = i;
            while (i < s.length() && ",]} \n\r\t".indexOf(s.charAt(i)) < 0) i++;
            String t = s.substring(from, i);
            if (t.equals("null")) return null;
            if (t.equals("true") || t.equals("false")) return Boolean.valueOf(t);
            return t.matches("-?\\d+") ? (Object) Long.valueOf(t) : (Object) Double.valueOf(t);
        }

        private String string() {
            StringBuilder b = new StringBuilder();
            i++;
            for (; s.charAt(i) != '"'; i++) {
                char c = s.charAt(i);
                if (c == '\\') {
                    c = s.charAt(++i);
                    if (c == 'u') { c = (char) Integer.parseInt(s.substring(i + 1, i + 5), 16); i += 4; }
                    else if (c == 'n') c = '\n';
                    else if (c == 't') c = '\t';
                    else if (c == 'r') c = '\r';
                }
                b.append(c);
            }
            i++;
            return b.toString();
        }

        static String write(Object o) {
            if (o instanceof Map<?, ?> m) {
                StringJoiner j = new StringJoiner(",", "{", "}");
                m.forEach((k, v) -> j.add(write(k.toString()) + ":" + write(v)));
                return j.toString();
            }
            if (o instanceof List<?> l) {
                StringJoiner j = new StringJoiner(",", "[", "]");
                l.forEach(v -> j.add(write(v)));
                return j.toString();
            }
            if (o instanceof String t) return "\"" + t.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
            return String.valueOf(o);
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> m = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) m.put((String) pairs[i], pairs[i + 1]);
        return m;
    }

    // ---- store ---------------------------------------------------------------------------------------------------

    /** The platform's store: objects by kind and name, one revision counter, lists in pages, and watches. */
    static final class Store {
        static final int PAGE_ITEMS = 500;
        static final int PAGE_BYTES = 1 << 20;
        static final long ANSWER_MS = 4;
        private long revision = 100;
        private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
        private record Event(long revision, String kind, boolean removed, Map<String, Object> object) {}
        private final List<Event> history = new ArrayList<>();

        /**
         * Opens an address of the store and returns its port. While [silent] is true, calls there get no answer; an answer
         * that falls into this time is lost, and the connection then returns nothing further.
         */
        int open(AtomicBoolean silent) throws IOException {
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            daemon(() -> {
                while (true) {
                    try {
                        Socket s = listener.accept();
                        s.setTcpNoDelay(true);
                        daemon(() -> serve(s, silent));
                    } catch (IOException e) { return; }
                }
            });
            return listener.getLocalPort();
        }

        private void serve(Socket s, AtomicBoolean silent) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Message m = read(in);
                    if (m == null) return;
                    boolean isWatch = m.target().contains("watch=");
                    boolean asked = silent.get();
                    String[] answer = asked ? null : answer(m);
                    if (!isWatch) sleep(ANSWER_MS);
                    if (asked || silent.get()) {
                        // A connection on which a response is lost returns nothing further.
                        log("the store's answer to %s %s is lost; the connection stays open", m.method(), m.target());
                        while (in.read() != -1) { }
                        return;
                    }
                    byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                    send(s, "HTTP/1.1 " + answer[0] + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n", body);
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            }
        }

        @SuppressWarnings("unchecked")
        private String[] answer(Message m) {
            URI uri = URI.create(m.target());
            String[] path = uri.getPath().split("/");
            Map<String, String> query = new HashMap<>();
            if (uri.getQuery() != null) for (String p : uri.getQuery().split("&")) query.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
            String kind = path[2];
            String name = path.length > 3 ? path[3] : null;
            switch (m.method()) {
                case "GET":
                    if (name != null) {
                        synchronized (this) {
                            var o = objects(kind).get(name);
                            return o == null ? new String[] {"404 Not Found", "{}"} : new String[] {"200 OK", Json.write(o)};
                        }
                    }
                    if (query.containsKey("watch")) return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
                    return list(kind, query.get("after"));
                case "POST":
                case "PUT":
                    Map<String, Object> document = (Map<String, Object>) Json.parse(new String(m.body, StandardCharsets.UTF_8));
                    Map<String, Object> meta = (Map<String, Object>) document.get("metadata");
                    if (name == null) name = (String) meta.get("name");
                    synchronized (this) {
                        var old = objects(kind).get(name);
                        if (m.method().equals("POST") && old != null) return new String[] {"409 Conflict", Json.write(old)};
                        if (m.method().equals("PUT") && old == null) return new String[] {"404 Not Found", "{}"};
                        Object expected = meta.get("revision");
                        if (old != null && expected != null && !expected.equals(((Map<String, Object>) old.get("metadata")).get("revision"))) {
                            return new String[] {"409 Conflict", Json.write(old)};
                        }
                        return new String[] {"200 OK", Json.write(put(kind, name, document.get("spec")))};
                    }
                case "DELETE":
                    return new String[] {remove(kind, name) ? "200 OK" : "404 Not Found", "{}"};
                default:
                    return new String[] {"400 Bad Request", "{}"};
            }
        }

        private TreeMap<String, Map<String, Object>> objects(String kind) { return kinds.computeIfAbsent(kind, k -> new TreeMap<>()); }

        private String[] list(String kind, String after) {
            List<Object> items = new ArrayList<>();
            boolean truncated = false;
            long at;
            String last = null;
            synchronized (this) {
                at = revision;
                int bytes = 0;
                var rest = after == null ? objects(kind) : objects(kind).tailMap(after, false);
                for (var e : rest.entrySet()) {
                    if (items.size() == PAGE_ITEMS || bytes > PAGE_BYTES) { truncated = true; break; }
                    items.add(e.getValue());
                    bytes += Json.write(e.getValue()).length();
                    last = e.getKey();
                }
            }
            String text = Json.write(map("items", items, "truncated", truncated, "at", at));
            return new String[] {"200 OK", text};
        }

        private String[] watch(String kind, long from, long wait) {
            long until = now() + wait;
            synchronized (this) {
                while (true) {
                    List<Object> events = new ArrayList<>();
                    for (Event e : history) if (e.revision > from && e.kind.equals(kind)) events.add(map("object", e.object, "removed", e.removed));
                    long left = until - now();
                    if (!events.isEmpty() || left <= 0) return new String[] {"200 OK", Json.write(map("events", events, "at", revision))};
                    try { wait(left); } catch (InterruptedException e) { throw new RuntimeException(e); }
                }
            }
        }

        /** Writes an object; the return is the store's acknowledgement. */
        @SuppressWarnings("unchecked")
        synchronized Map<String, Object> put(String kind, String name, Object spec) {
            var old = objects(kind).get(name);
            if (old != null && Objects.equals(old.get("spec"), spec)) return old;
            revision++;
            Object created = old == null ? revision : ((Map<String, Object>) old.get("metadata")).get("created");
            Map<String, Object> o = map("metadata", map("name", name, "revision", revision, "created", created, "finalizers", List.of(), "deleting", false), "spec", spec, "status", null);
            objects(kind).put(name, o);
            history.add(new Event(revision, kind, false, o));
            notifyAll();
            return o;
        }

        /** Writes an entry of a server, which changes only when more than its sequence changes. */
        @SuppressWarnings("unchecked")
        synchronized void beat(String kind, String name, Map<String, Object> spec) {
            var old = objects(kind).get(name);
            if (old != null) {
                Map<String, Object> known = new HashMap<>((Map<String, Object>) old.get("spec"));
                known.put("sequence", spec.get("sequence"));
                if (known.equals(spec)) return;
            }
            put(kind, name, spec);
        }

        synchronized boolean remove(String kind, String name) {
            var old = objects(kind).remove(name);
            if (old == null) return false;
            revision++;
            history.add(new Event(revision, kind, true, old));
            notifyAll();
            return true;
        }
    }

    /** The platform's checks of readiness: after two misses a gateway gets no new connections until it answers 200. */
    static final class Ingress {
        private final List<Gateway> gateways;
        private final Map<Gateway, Integer> misses = new ConcurrentHashMap<>();

        Ingress(List<Gateway> gateways) {
            this.gateways = gateways;
            for (Gateway g : gateways) {
                daemon(() -> {
                    while (true) {
                        int before = misses.getOrDefault(g, 0);
                        int after = g.ready() == 200 ? 0 : before + 1;
                        misses.put(g, after);
                        if (after == 2) log("ingress: %s is out of rotation", g.id);
                        if (before >= 2 && after == 0) log("ingress: %s is in rotation", g.id);
                        sleep(1000);
                    }
                });
            }
        }

        boolean isInRotation(Gateway g) { return misses.getOrDefault(g, 0) < 2; }

        /** Gateway for a new connection of client [n]. */
        Gateway choose(int n) {
            List<Gateway> open = new ArrayList<>();
            for (Gateway g : gateways) if (isInRotation(g)) open.add(g);
            if (open.size() * 2 < gateways.size()) open = gateways;
            return open.get(n % open.size());
        }
    }

    // ---- servers -------------------------------------------------------------------------------------------------

    record Run(String request, String path, String server, long at) {}

    /** Server of a plain service, which writes its entry into the store every 1.2 s. */
    static final class Server {
        static final List<Run> RUNS = Collections.synchronizedList(new ArrayList<>());
        final String id, service, zone;
        final int port;
        final Store store;
        final long workMs;
        volatile boolean registers = true;
        volatile String state = "ready";
        private final ServerSocket listener;
        private long sequence;
        private final long born = System.currentTimeMillis();

        Server(String id, String service, String zone, Store store, long workMs) throws IOException {
            this.id = id; this.service = service; this.zone = zone; this.store = store; this.workMs = workMs;
            listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            daemon(() -> {
                while (true) {
                    try {
                        Socket s = listener.accept();
                        s.setTcpNoDelay(true);
                        daemon(() -> serve(s));
                    } catch (IOException e) { return; }
                }
            });
            beat();
            daemon(() -> { while (registers) { sleep(1200); beat(); } });
        }

        synchronized void beat() {
            if (!registers) return;
            sequence++;
            store.beat("servers", id, map("service", service, "address", "127.0.0.1:" + port, "zone", zone, "version", "v1",
                "slots", 6L, "state", state, "cold_remaining_ms", 0L, "sequence", sequence, "born", born));
        }

        /** Ends the server: no connection is accepted any more. */
        void stop() { try { listener.close(); } catch (IOException e) { /* closed */ } }

        /** Removes the entry without a state of draining before; the server goes on serving. */
        synchronized void leave() { registers = false; store.remove("servers", id); }

        private void serve(Socket s) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Message m = read(in);
                    if (m == null || !m.complete) return;
                    String request = m.header("Cicadaturn-Request-Id");
                    String echo = request == null ? "" : "Cicadaturn-Request-Id: " + request + "\r\n";
                    String target = m.header("Cicadaturn-Target-Instance");
                    if (target != null && !target.equals(id)) {
                        send(s, "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Cicadaturn-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", new byte[0]);
                        continue;
                    }
                    RUNS.add(new Run(request, m.target(), id, now()));
                    sleep(workMs);
                    byte[] body = ("done by " + id + " " + m.body.length + "\n").getBytes();
                    send(s, "HTTP/1.1 200 OK\r\n" + echo + "Cicadaturn-Response-Signature: sig." + request + "\r\nCicadaturn-Server-Load: 1,0,6\r\nContent-Length: " + body.length + "\r\n\r\n", body);
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            }
        }
    }

    // ---- clients -------------------------------------------------------------------------------------------------

    /** How a request ended: status 0 stands for a connection that ended without a complete answer. */
    record Outcome(String request, String path, String key, long sentAt, long endedAt, int status, String body, boolean isKept, String detail) {
        long ms() { return endedAt - sentAt; }
    }

    /** Client that keeps its connection open between requests, unless the answer or a failure ends it. */
    static final class Client {
        private static final AtomicLong IDS = new AtomicLong(RANDOM.nextInt() & 0xffffffL);
        final int port;
        private Socket socket;
        private InputStream in;
        private int used;

        Client(int port) { this.port = port; }

        boolean isOpen() { return socket != null; }

        Outcome call(String method, String host, String path, String key, long deadlineMs, byte[] body) {
            String id = String.format("%016x", IDS.incrementAndGet());
            long sentAt = now();
            boolean isKept = false;
            try {
                if (socket == null) {
                    socket = connect(port);
                    in = new BufferedInputStream(socket.getInputStream());
                    used = 0;
                }
                isKept = used > 0;
                socket.setSoTimeout((int) deadlineMs + 3000);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nCicadaturn-Request-Id: " + id +
                    "\r\nCicadaturn-Deadline-Ms: " + deadlineMs + (key == null ? "" : "\r\nAuthorization: Bearer " + key) +
                    (body == null ? "" : "\r\nContent-Length: " + body.length) + "\r\n\r\n";
                send(socket, head, body == null ? new byte[0] : body);
                Message m = read(in);
                used++;
                if (m == null || !m.complete) {
                    close();
                    return new Outcome(id, path, key, sentAt, now(), 0, "", isKept, m == null ? "closed without an answer" : "cut");
                }
                if (m.closes()) close();
                return new Outcome(id, path, key, sentAt, now(), m.status(), new String(m.body, StandardCharsets.ISO_8859_1).trim(), isKept, "");
            } catch (IOException e) {
                close();
                return new Outcome(id, path, key, sentAt, now(), 0, "", isKept, e.toString());
            }
        }

        void close() {
            try { if (socket != null) socket.close(); } catch (IOException e) { /* closed */ }
            socket = null;
        }
    }

    // ---- configuration -------------------------------------------------------------------------------------------

    static Map<String, Object> route(String name, String prefix, String kind, String service, long timeoutMs, long aimMs, long attempts) {
        return map("name", name, "host", "desk.example", "path_prefix", prefix, "kind", kind, "timeout_ms", timeoutMs, "target_latency_ms", aimMs,
            "priority", 2L, "service", service, "attempts", attempts, "public", false, "sticky", false, "resumable", false);
    }

    static Map<String, Object> config(long version, List<Object> routes, List<String> services, List<String> keys) {
        List<Object> list = new ArrayList<>();
        for (String s : services) list.add(map("name", s, "health_path", "/health", "max_connections", 96L, "protocol", "h1", "tls", false, "cold_s", 0.0, "cold_per_s", 0.0));
        return map("version", version, "routes", routes, "services", list,
            "limits", map("header_bytes", 16384L, "max_body_bytes", 4194304L, "header_timeout_ms", 3000L, "idle_timeout_ms", 15000L),
            "tenants", List.of(map("name", "hule930", "api_keys", new ArrayList<Object>(keys), "priority", 1L)));
    }
}
