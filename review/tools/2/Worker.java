import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/**
 * Stand-in of a sound server, as a process of its own, by PROTOCOL.md. Arguments are NAME=VALUE:
 *
 * id: its id; port: its port, free if left out; events: events of a stream, 0 for a plain answer; gap: milliseconds
 * between events; work: milliseconds of work before a plain answer; bytes: length of a plain answer; framing: chunked,
 * length or close; numbers: events for ids that count the events, tokens for ids that count the tokens so far; slots.
 *
 * It writes a line for each request that it runs, each event that it makes and each answer that it ends.
 */
public final class Worker {
    private static final Map<String, String> settings = new HashMap<>();
    private static int running = 0;

    public static void main(String[] arguments) throws IOException {
        for (String argument : arguments) settings.put(argument.split("=", 2)[0], argument.split("=", 2)[1]);
        int port = Integer.parseInt(settings.getOrDefault("port", "0"));
        ServerSocket socket = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
        tell("PORT " + socket.getLocalPort());
        // The end of the standard input is the end of the test.
        Threads.start(() -> {
            try {
                while (System.in.read() >= 0) {
                    // Nothing is sent.
                }
            } catch (IOException e) {
                // As if it had ended.
            }
            Runtime.getRuntime().halt(0);
        });
        while (true) {
            Socket client = socket.accept();
            client.setTcpNoDelay(true);
            Threads.start(() -> serve(client));
        }
    }

    private static synchronized void tell(String line) {
        System.out.println(System.currentTimeMillis() + " " + line);
        System.out.flush();
    }

    private static int number(String name) {
        return Integer.parseInt(settings.get(name));
    }

    private static void serve(Socket client) {
        try (client) {
            InputStream in = new BufferedInputStream(client.getInputStream());
            OutputStream out = new BufferedOutputStream(client.getOutputStream());
            while (true) {
                Http.Head head = Http.head(in);
                if (head == null) return;
                Http.body(in, head);
                if (!answer(head, out)) return;
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    /** Answers a request; returns false if the connection has to be closed. */
    private static boolean answer(Http.Head head, OutputStream out) throws IOException {
        String id = head.header("Cicadaturn-Request-Id");
        String target = head.header("Cicadaturn-Target-Instance");
        if (target != null && !target.equals(settings.get("id"))) {
            return send(out, "421 Misdirected", id, "Cicadaturn-Not-Executed: 1\r\nContent-Length: 0\r\n", "");
        }
        if (head.word(1).startsWith("/health")) return send(out, "200 OK", id, "Content-Length: 0\r\n", "");
        if (id == null) return send(out, "400 Bad", null, "Cicadaturn-Not-Executed: 1\r\nContent-Length: 0\r\n", "");
        synchronized (Worker.class) {
            if (running >= number("slots")) {
                return send(out, "503 Full", id, "Cicadaturn-Not-Executed: 1\r\nContent-Length: 0\r\n", "");
            }
            running++;
        }
        try {
            tell("RUN " + id + " " + head.word(0) + " " + head.word(1));
            boolean isKept = number("events") > 0 ? stream(head, id, out) : plain(id, out);
            tell("END " + id);
            return isKept;
        } catch (IOException e) {
            tell("LEFT " + id);
            throw e;
        } finally {
            synchronized (Worker.class) {
                running--;
            }
        }
    }

    private static boolean send(OutputStream out, String status, String id, String headers, String body)
            throws IOException {
        String signature = "Cicadaturn-Response-Signature: " + settings.get("id") + "." + id + "\r\n";
        out.write(Http.bytes("HTTP/1.1 " + status + "\r\n" + (id == null ? "" : "Cicadaturn-Request-Id: " + id + "\r\n")
                + signature + headers + "\r\n" + body));
        out.flush();
        return true;
    }

    private static boolean plain(String id, OutputStream out) throws IOException {
        Threads.sleep(number("work"));
        String body = bodyOf(id, number("bytes"));
        if (!settings.get("framing").equals("close")) {
            return send(out, "200 OK", id, "Content-Length: " + body.length() + "\r\n", body);
        }
        send(out, "200 OK", id, "Connection: close\r\n", body);
        return false;
    }

    /** Returns the body of the answer to the request with [id]. */
    static String bodyOf(String id, int bytes) {
        StringBuilder body = new StringBuilder();
        while (body.length() < bytes) body.append(id).append('/').append(body.length()).append('\n');
        return body.substring(0, bytes);
    }

    /** Returns the text of the event with number [n] of [count] of the answer to the request with [id]. */
    static String dataOf(String id, int n, int count) {
        return id + " piece " + n + " of " + count;
    }

    /**
     * Returns the id of the event with number [n], from 1 on. An event may contain several tokens: the first three have one
     * each, the later ones two.
     */
    static long idOf(String numbers, int n) {
        return numbers.equals("events") || n <= 3 ? n : 3 + 2L * (n - 3);
    }

    private static boolean stream(Http.Head head, String id, OutputStream out) throws IOException {
        boolean isChunked = settings.get("framing").equals("chunked");
        String framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n";
        send(out, "200 OK", id, "Content-Type: text/event-stream\r\n" + framing, "");
        String last = head.header("Last-Event-Id");
        int count = number("events");
        for (int n = 1; n <= count; n++) {
            long number = idOf(settings.getOrDefault("numbers", "events"), n);
            if (last != null && number <= Long.parseLong(last)) continue;
            Threads.sleep(number("gap"));
            String event = "id: " + number + "\ndata: " + dataOf(id, n, count) + "\n\n";
            if (isChunked) event = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write(Http.bytes(event));
            out.flush();
            tell("MADE " + id + " " + n);
        }
        if (isChunked) out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
        return isChunked;
    }
}
