import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the heads and bodies of HTTP/1.1 messages. */
final class Http {
    private Http() { }

    /** Head of a request or response; the names of headers are in lower case. */
    static final class Head {
        final String line;
        final Map<String, String> headers = new LinkedHashMap<>();

        Head(String line) {
            this.line = line;
        }

        String get(String name) {
            return headers.get(name.toLowerCase());
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    /** Returns null if the connection ends before a head begins. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Head head = new Head(line);
        while (true) {
            String field = readLine(in);
            if (field == null) throw new EOFException("the connection ended in a head");
            if (field.isEmpty()) return head;
            int colon = field.indexOf(':');
            if (colon > 0) head.headers.merge(field.substring(0, colon).trim().toLowerCase(), field.substring(colon + 1).trim(), (a, b) -> a + ", " + b);
        }
    }

    static boolean isChunked(Head head) {
        String coding = head.get("transfer-encoding");
        return coding != null && coding.toLowerCase().contains("chunked");
    }

    /** Reads the body of a request. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (isChunked(head)) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk;
            while ((chunk = readChunk(in)).length > 0) body.write(chunk);
            return body.toByteArray();
        }
        String length = head.get("content-length");
        return length == null ? new byte[0] : readFully(in, Integer.parseInt(length));
    }

    /** Returns the next chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) throw new EOFException("the connection ended before a chunk");
        byte[] chunk = readFully(in, Integer.parseInt(size.split(";")[0].trim(), 16));
        if (chunk.length > 0) {
            readLine(in);
        } else {
            String trailer = readLine(in);
            while (trailer != null && !trailer.isEmpty()) trailer = readLine(in);
        }
        return chunk;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the connection ended in a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(c);
        }
        return null;
    }
}
