import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's connection to a router. */
final class Client implements AutoCloseable {
    private static final AtomicInteger REQUEST_COUNT = new AtomicInteger();

    /**
     * What a client saw of one request.
     *
     * @param status status of the answer; 0 without one.
     * @param isComplete whether the answer was read to its end.
     */
    record Answer(String requestId, int status, String seal, String body, boolean isComplete, String failure, long sentMs, long endedMs) {
        @Override
        public String toString() {
            return requestId + " status=" + status + " seal=" + seal + " bytes=" + body.length() + " complete=" + isComplete + " failure="
                + failure + " sent_ms=" + sentMs + " took_ms=" + tookMs();
        }

        /** Whether the connection ended without a whole answer. */
        boolean wasClosed() {
            return failure != null && !failure.startsWith("SocketTimeout");
        }

        boolean isSuccess() {
            return status / 100 == 2 && isComplete && seal != null;
        }

        long tookMs() {
            return endedMs - sentMs;
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    boolean wasClosed;

    /** Headers of the last answer. */
    Map<String, String> lastHeaders = Map.of();

    Client(Router router) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", router.frontPort), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String nextId() {
        return String.format("%016x", 0x9c41d07b00000000L + REQUEST_COUNT.incrementAndGet());
    }

    /** Sends one request on a connection of its own. */
    static Answer once(Router router, String method, String target, String headers, byte[] body, long deadlineMs) {
        try (Client client = new Client(router)) {
            return client.send(nextId(), method, target, headers, body, deadlineMs);
        } catch (IOException failure) {
            return new Answer("-", 0, null, "", false, "no connection: " + failure.getMessage(), Clock.ms(), Clock.ms());
        }
    }

    Answer send(String requestId, String method, String target, String headers, byte[] body, long deadlineMs) {
        long sentMs = Clock.ms();
        Http head = null;
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        String failure = null;
        boolean complete = false;
        try {
            socket.setSoTimeout((int) deadlineMs);
            String text = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + requestId + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\n" + headers + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            socket.getOutputStream().write(Bytes.join(text.getBytes(StandardCharsets.ISO_8859_1), body == null ? new byte[0] : body));
            head = Http.readHead(in);
            lastHeaders = head == null ? Map.of() : head.headers;
            if (head == null) {
                failure = "the connection was closed without an answer";
                wasClosed = true;
            } else if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
                while (true) {
                    byte[] chunk = Http.readChunk(in);
                    if (chunk.length == 0) break;
                    read.write(chunk);
                    if (Clock.ms() - sentMs > deadlineMs) throw new IOException("the deadline passed in the body");
                }
                complete = true;
            } else {
                head.readBody(in);
                read.write(head.body);
                complete = true;
            }
        } catch (IOException exception) {
            failure = exception.getClass().getSimpleName() + ": " + exception.getMessage();
            wasClosed = true;
        }
        int status = head == null ? 0 : head.status();
        String seal = head == null ? null : head.header("X-Response-Seal");
        return new Answer(requestId, status, seal, read.toString(StandardCharsets.ISO_8859_1), complete, failure, sentMs, Clock.ms());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
