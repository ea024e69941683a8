import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's metadata store, by PROTOCOL.md.
 *
 * Each of its ports can be made to turn callers away, so that it serves some machines and not others.
 */
final class Store {
    /** How a port treats its calls. */
    enum Mode { SERVES, SILENT, BUSY }

    private record Item(long revision, long created, Object spec) {}

    private record Event(long revision, String kind, String object, boolean removed) {}

    /** Listener at one port. */
    final class Port {
        final ServerSocket socket;
        volatile Mode mode = Mode.SERVES;
        private final List<Socket> open = new ArrayList<>();

        private Port() throws IOException {
            socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            Threads.start(this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket client = socket.accept();
                    client.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(client);
                    }
                    Threads.start(() -> serve(client, this));
                } catch (IOException e) {
                    return;
                }
            }
        }
    }

    private final Map<String, TreeMap<String, Item>> kinds = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    Port port() throws IOException {
        return new Port();
    }

    /** Creates or replaces an object, as the operator and the servers do. */
    synchronized long put(String kind, String name, Object spec) {
        Item known = kind(kind).get(name);
        if (known != null && Json.write(known.spec).equals(Json.write(spec))) return known.revision;
        revision++;
        Item item = new Item(revision, known == null ? revision : known.created, spec);
        kind(kind).put(name, item);
        changed(kind, name, item, false);
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Item known = kind(kind).remove(name);
        if (known == null) return;
        revision++;
        changed(kind, name, new Item(revision, known.created, known.spec), true);
    }

    synchronized Object get(String kind, String name) {
        Item item = kind(kind).get(name);
        return item == null ? null : item.spec;
    }

    private void changed(String kind, String name, Item item, boolean removed) {
        events.add(new Event(revision, kind, json(name, item), removed));
        notifyAll();
    }

    private TreeMap<String, Item> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private static String json(String name, Item item) {
        return "{\"metadata\":{\"name\":" + Json.write(name) + ",\"revision\":" + item.revision + ",\"created\":"
                + item.created + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + Json.write(item.spec)
                + ",\"status\":null}";
    }

    private void serve(Socket client, Port port) {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            OutputStream out = client.getOutputStream();
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                byte[] body = Http.body(in, head);
                if (port.mode == Mode.SILENT) {
                    in.read();
                    return;
                }
                String[] answer = port.mode == Mode.BUSY ? new String[] {"503", "{}"}
                        : answer(head.word(0), head.word(1), new String(body, "UTF-8"), port);
                if (answer == null) {
                    in.read();
                    return;
                }
                byte[] bytes = Http.bytes(answer[1]);
                out.write(Http.bytes("HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n"));
                out.write(bytes);
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    private String[] answer(String method, String target, String body, Port port) throws InterruptedException {
        String[] parts = target.split("\\?", 2);
        String[] path = parts[0].split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) {
                query.put(pair.split("=", 2)[0], pair.contains("=") ? pair.split("=", 2)[1] : "");
            }
        }
        if (path.length < 3 || !path[1].equals("objects")) return new String[] {"404", "{}"};
        String kind = path[2];
        String name = path.length > 3 ? path[3] : null;
        if (method.equals("GET") && name == null && query.containsKey("watch")) return watch(kind, query, port);
        synchronized (this) {
            return switch (method) {
                case "GET" -> name == null ? list(kind) : read(kind, name);
                case "POST" -> create(kind, body);
                case "PUT" -> replace(kind, name, body, query);
                case "DELETE" -> delete(kind, name);
                default -> new String[] {"400", "{}"};
            };
        }
    }

    private synchronized String[] watch(String kind, Map<String, String> query, Port port)
            throws InterruptedException {
        long from = Long.parseLong(query.get("watch"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (port.mode == Mode.SILENT) return null;
            StringBuilder found = new StringBuilder();
            for (Event event : events) {
                if (event.revision <= from || !event.kind.equals(kind)) continue;
                if (found.length() > 0) found.append(',');
                found.append("{\"object\":").append(event.object).append(",\"removed\":").append(event.removed)
                        .append('}');
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (found.length() > 0 || left <= 0) {
                return new String[] {"200", "{\"events\":[" + found + "],\"at\":" + revision + "}"};
            }
            wait(left);
        }
    }

    private String[] list(String kind) {
        List<String> items = new ArrayList<>();
        kind(kind).forEach((name, item) -> items.add(json(name, item)));
        return new String[] {
            "200", "{\"items\":[" + String.join(",", items) + "],\"truncated\":false,\"at\":" + revision + "}"
        };
    }

    private String[] read(String kind, String name) {
        Item item = kind(kind).get(name);
        return item == null ? new String[] {"404", "{}"} : new String[] {"200", json(name, item)};
    }

    @SuppressWarnings("unchecked")
    private String[] create(String kind, String body) {
        Map<String, Object> document = Json.object(body);
        String name = (String) ((Map<String, Object>) document.get("metadata")).get("name");
        if (kind(kind).containsKey(name)) return new String[] {"409", json(name, kind(kind).get(name))};
        put(kind, name, document.get("spec"));
        return new String[] {"201", json(name, kind(kind).get(name))};
    }

    @SuppressWarnings("unchecked")
    private String[] replace(String kind, String name, String body, Map<String, String> query) {
        Map<String, Object> document = Json.object(body);
        Item known = kind(kind).get(name);
        if (known == null) return new String[] {"404", "{}"};
        Map<String, Object> metadata = (Map<String, Object>) document.get("metadata");
        Object expected = query.containsKey("revision") ? Long.valueOf(query.get("revision"))
                : metadata == null ? null : metadata.get("revision");
        if (expected != null && !expected.equals(known.revision)) return new String[] {"409", json(name, known)};
        put(kind, name, document.get("spec"));
        return new String[] {"200", json(name, kind(kind).get(name))};
    }

    private String[] delete(String kind, String name) {
        if (!kind(kind).containsKey(name)) return new String[] {"404", "{}"};
        remove(kind, name);
        return new String[] {"200", "{}"};
    }
}
