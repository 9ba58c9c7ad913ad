import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Head and body of one HTTP/1.1 message. */
final class Http {
    String startLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.get(name);
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the head of the next message; returns null if the connection ends before it. */
    static Http readHead(InputStream in) throws IOException {
        Http message = new Http();
        message.startLine = readLine(in);
        if (message.startLine == null) return null;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended in a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body of a request: by its length, in chunks, or none. */
    void readBody(InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            while (true) {
                byte[] chunk = readChunk(in);
                if (chunk.length == 0) break;
                out.write(chunk);
            }
            body = out.toByteArray();
        } else if (header("Content-Length") != null) {
            body = in.readNBytes(Integer.parseInt(header("Content-Length")));
            if (body.length < Integer.parseInt(header("Content-Length"))) throw new EOFException("the connection ended in a body");
        }
    }

    /** Reads one chunk; an empty one is the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) throw new EOFException("the connection ended before a chunk");
        int size = Integer.parseInt(line.trim(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) throw new EOFException("the connection ended in a chunk");
        if (readLine(in) == null) throw new EOFException("the connection ended after a chunk");
        return chunk;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended in a line");
            }
            if (c == '\n') break;
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
