import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client attempt on a connection of its own, and what came of it. */
final class Call {
    final String id;
    /** Status of the answer; 0 if there was none. */
    int status;
    boolean isSigned;
    /** True if the answer came to the end that its framing states. */
    boolean isComplete;
    String body = "";
    String failure = "";

    Call(String id) {
        this.id = id;
    }

    /** Sends a request with [method] to [path] at the gateway that listens at [port], and reads the answer. */
    static Call make(int port, String id, String method, String path, String content, long deadlineMillis) {
        Call call = new Call(id);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis + 1_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nCicadaturn-Request-Id: " + id
                    + "\r\nCicadaturn-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer key-1\r\n"
                    + (content.isEmpty() ? "" : "Content-Length: " + content.length() + "\r\n") + "\r\n" + content;
            socket.getOutputStream().write(Http.bytes(head));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.head(in);
            if (answer == null) throw new IOException("no answer");
            call.status = Integer.parseInt(answer.word(1));
            call.isSigned = answer.header("Cicadaturn-Response-Signature") != null;
            if ("chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
                byte[] chunk;
                while ((chunk = Http.chunk(in)) != null) received.write(chunk);
            } else {
                received.write(Http.body(in, answer));
            }
            call.isComplete = true;
        } catch (IOException e) {
            call.failure = e.toString();
        }
        call.body = received.toString(StandardCharsets.UTF_8);
        return call;
    }

    /** Returns the number of events in the answer. */
    int events() {
        return body.split("\n\n").length - (body.isEmpty() ? 1 : 0);
    }
}
