import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Small deployment on loopback: the store, server processes and gateway processes, which are started by the run line and
 * the template of the deploy file. All processes end with it.
 */
final class Lab implements AutoCloseable {
    static final long HEARTBEAT_MILLIS = 1_200;

    final Store store = new Store();
    final List<Gateway> gateways = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path work;
    private final PrintWriter record;
    private final long start = System.currentTimeMillis();
    private volatile boolean isClosed = false;

    Lab(Path work, Path record) throws IOException {
        this.work = work;
        this.record = new PrintWriter(Files.newBufferedWriter(record));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        Threads.start(this::beat);
    }

    /** Adds a line to the record. */
    synchronized void note(String text) {
        record.printf("%7.3f %s%n", (System.currentTimeMillis() - start) / 1000.0, text);
        record.flush();
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    /** Writes a configuration, as the operator does. */
    void configure(long version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        Object limits = map("header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
                "idle_timeout_ms", 15000);
        Object tenants = List.of(map("name", "tenant-1", "api_keys", List.of("key-1")));
        store.put("config", "main", map("version", version, "routes", routes, "services", services, "tenants", tenants,
                "limits", limits));
        note("operator: configuration " + version);
    }

    /** Writes the entries of the servers while they live, as these do themselves. */
    private void beat() {
        while (!isClosed) {
            for (Server server : List.copyOf(servers)) server.beat();
            Threads.sleep(100);
        }
    }

    /** Returns a free port below those that the system gives to outgoing connections, which could take it meanwhile. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (!given.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // The port is in use.
            }
        }
        throw new IOException("no free port");
    }

    private static final Set<Integer> given = ConcurrentHashMap.newKeySet();

    /** Server process. */
    final class Server {
        final String id;
        private final Process process;
        private final Map<String, Object> entry;
        private final long born = System.currentTimeMillis();
        private final String[] settings;
        private int port;
        private long lastBeat;
        private long sequence;
        volatile boolean isListed = true;
        /** Runs and ends of requests, as the process has told them. */
        final List<String> told = new ArrayList<>();

        Server(String id, String service, int slots, String... settings) throws IOException, InterruptedException {
            this.id = id;
            this.settings = settings;
            List<String> command = new ArrayList<>(List.of(java(), "-Xmx48m", "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "Worker", "id=" + id,
                    "slots=" + slots));
            command.addAll(Arrays.asList(settings));
            process = new ProcessBuilder(command).redirectError(work.resolve(id + ".err").toFile()).start();
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            port = Integer.parseInt(out.readLine().split(" ")[2]);
            Threads.start(() -> read(out));
            entry = map("service", service, "address", "127.0.0.1:" + port, "zone", "zone-a", "version", "1", "slots",
                    slots, "state", "ready", "cold_remaining_ms", 0, "sequence", 0, "born", born);
            note("server " + id + " of " + service + " starts");
            beat();
            servers.add(this);
        }

        private void read(BufferedReader out) {
            try {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    synchronized (told) {
                        told.add(line);
                    }
                    if (!line.contains(" MADE ")) note("server " + id + ": " + line.substring(line.indexOf(' ') + 1));
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        List<String> told() {
            synchronized (told) {
                return List.copyOf(told);
            }
        }

        private synchronized void beat() {
            if (!isListed) return;
            long now = System.currentTimeMillis();
            if (!process.isAlive()) {
                // The store removes an entry after three heartbeat intervals of silence.
                if (now - lastBeat > 3 * HEARTBEAT_MILLIS) remove();
                return;
            }
            if (now - lastBeat < HEARTBEAT_MILLIS) return;
            lastBeat = now;
            entry.put("sequence", ++sequence);
            store.put("servers", id, new LinkedHashMap<>(entry));
        }

        private void remove() {
            isListed = false;
            store.remove("servers", id);
            note("server " + id + ": its entry is removed");
        }

        /** Reports that the server leaves. */
        synchronized void drain() {
            note("server " + id + " reports draining");
            entry.put("state", "draining");
            store.put("servers", id, new LinkedHashMap<>(entry));
        }

        /** Ends the server without a word to its callers. */
        void kill() throws InterruptedException {
            note("server " + id + " is killed");
            process.destroyForcibly().waitFor();
        }

        /** Returns the number of requests that it runs. */
        int running() {
            int running = 0;
            for (String line : told()) {
                if (line.contains(" RUN ")) running++;
                if (line.contains(" END ") || line.contains(" LEFT ")) running--;
            }
            return running;
        }

        /** Starts the server again under its id and at its address; nothing of before is known to it. */
        Server restart() throws IOException, InterruptedException {
            synchronized (this) {
                isListed = false;
            }
            List<String> again = new ArrayList<>(Arrays.asList(settings));
            again.add("port=" + port);
            return new Server(id, (String) entry.get("service"), ((Number) entry.get("slots")).intValue(),
                    again.toArray(new String[0]));
        }
    }

    /** Gateway process. */
    final class Gateway {
        final String node;
        final int front;
        final int ready;
        final int control;
        final int admin;
        final Store.Port storePort;
        private final Path settings;
        private Process process;

        Gateway(String node, String zone, List<String> seeds, int control) throws IOException {
            this.node = node;
            this.control = control;
            front = freePort();
            ready = freePort();
            admin = freePort();
            storePort = store.port();
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("node", node);
            fields.put("zone", zone);
            fields.put("ip", "127.0.0.1");
            fields.put("internal_ports.0", "" + admin);
            fields.put("provider.address", storePort.address());
            fields.put("limits.max_fds", "4200");
            fields.put("listen.front", "127.0.0.1:" + front);
            fields.put("listen.ready", "127.0.0.1:" + ready);
            fields.put("listen.control", "127.0.0.1:" + control);
            fields.put("seeds", String.join(",", seeds));
            fields.put("bounds.grace_s", "8");
            fields.put("bounds.cold_over", "1.5");
            fields.put("bounds.cold_slack", "5");
            fields.put("bounds.retry_budget_ratio", "0.2");
            fields.put("bounds.budget_slack", "88");
            fields.put("bounds.budget_window_s", "10");
            String text = Files.readString(root.resolve("deploy/gateway.ini"));
            for (Map.Entry<String, String> field : fields.entrySet()) {
                text = text.replace("{{" + field.getKey() + "}}", field.getValue());
            }
            if (text.contains("{{")) throw new IllegalStateException("unknown placeholder in the template");
            settings = work.resolve(node + ".ini");
            Files.writeString(settings, text);
            gateways.add(this);
        }

        /** Starts the process as the run line of the deploy file says. */
        void start() throws IOException {
            String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            List<String> command = new ArrayList<>();
            for (String word : run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")) {
                command.add(word.equals("/etc/cicadaturn/local.toml") ? settings.toString() : word);
            }
            command.set(0, java());
            File log = work.resolve(node + ".log").toFile();
            process = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
            note("gateway " + node + " is started");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", ready), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
                Http.Head head = Http.head(socket.getInputStream());
                return head != null && head.word(1).equals("200");
            } catch (IOException e) {
                return false;
            }
        }

        boolean awaitReady(long millis) {
            long end = System.currentTimeMillis() + millis;
            while (System.currentTimeMillis() < end) {
                if (isReady()) return true;
                Threads.sleep(100);
            }
            return false;
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        void kill() throws InterruptedException {
            note("gateway " + node + " is killed");
            process.destroyForcibly().waitFor();
        }

        /** Sends [signal], a name as the kill of the shell takes it. */
        void signal(String signal) throws IOException, InterruptedException {
            note("gateway " + node + " gets SIG" + signal);
            new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(work.resolve(node + ".log"));
        }
    }

    private static String java() {
        return ProcessHandle.current().info().command().orElse("java");
    }

    @Override
    public void close() {
        synchronized (this) {
            if (isClosed) return;
            isClosed = true;
        }
        for (Gateway gateway : gateways) end(gateway.process);
        for (Server server : servers) end(server.process);
    }

    private static void end(Process process) {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
