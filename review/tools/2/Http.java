import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Messages of HTTP/1.1 on blocking sockets. */
final class Http {
    private Http() {}

    /** Head of a message; the names of headers are in lower case. */
    record Head(String start, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String word(int number) {
            return start.split(" ")[number];
        }
    }

    /** Returns the next head, or null if the connection has ended before it. */
    static Head head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("head is cut");
            if (line.isEmpty()) return new Head(start, headers);
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("line is cut");
            }
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the body of a request, or of an answer that states its length or has chunks. */
    static byte[] body(InputStream in, Head head) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            byte[] chunk;
            while ((chunk = chunk(in)) != null) out.write(chunk);
        } else if (head.header("Content-Length") != null) {
            out.write(exactly(in, Integer.parseInt(head.header("Content-Length"))));
        }
        return out.toByteArray();
    }

    /** Returns the next chunk, or null after the last one; fails if the connection ends before it. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) throw new EOFException("no last chunk");
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        if (length == 0) {
            String trailer = line(in);
            while (trailer != null && !trailer.isEmpty()) trailer = line(in);
            return null;
        }
        byte[] bytes = exactly(in, length);
        line(in);
        return bytes;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("body is cut");
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
