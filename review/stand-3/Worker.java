import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a sound worker. It answers a request of its service after {@link #firstMs} with a whole body or, for a request that names
 * X-Token-Usage, with a stream of as many events as the tokens out need. It registers itself in the store and renews its entry.
 */
class Worker implements AutoCloseable {
    static final long BEAT_MS = 1_200;
    static final int TOKENS_PER_EVENT = 5;

    final String id;
    final String service;
    final int slots;
    private final String zone;
    private final long born = System.currentTimeMillis();
    private final Store store;
    private final Record record;
    private final ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private int sequence;
    volatile boolean isClosed;
    /** Time from a request to the first byte of its answer. */
    volatile long firstMs = 20;
    /** Time between two events of a stream. */
    volatile long gapMs = 20;
    volatile String state = "ready";
    volatile String version = "v1";
    /** Header fields that every answer has besides the usual ones. */
    volatile Map<String, String> extraHeaders = Map.of();

    Worker(String id, String service, String zone, int slots, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.record = record;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
        start(this::beat);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Called for each request that this worker begins to run. */
    void onRun(Http.Head head) { }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Writes the entry of this worker into the store. */
    synchronized void register() {
        if (isClosed) return;
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
            + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":0,\"sequence\":" + sequence++ + ",\"born\":" + born + "}");
    }

    private void beat() {
        while (!isClosed) {
            register();
            Time.sleep(BEAT_MS);
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.add(socket);
                start(() -> serve(socket));
            } catch (IOException ended) {
                // The listener is closed, or this connection is of no use.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                Http.readBody(in, head);
                answer(head, socket, in, out);
            }
        } catch (IOException ended) {
            // The caller has gone.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(Http.Head head, Socket socket, InputStream in, OutputStream out) throws IOException {
        String expected = head.get("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            write(out, headOf(head, 421, "text/plain") + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        record.line("run worker=" + id + " request=" + head.get("x-request-id") + " target=" + head.target() + " tenant=" + head.get("x-tenant")
            + " tokens=" + head.get("x-token-usage"));
        running.incrementAndGet();
        try {
            onRun(head);
            run(head, out);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Runs a request and writes the answer. */
    void run(Http.Head head, OutputStream out) throws IOException {
        Time.sleep(firstMs);
        String usage = head.get("x-token-usage");
        if (usage == null) {
            byte[] body = ("answer of " + id + " to " + head.get("x-request-id")).getBytes(StandardCharsets.UTF_8);
            write(out, headOf(head, 200, "text/plain") + "Content-Length: " + body.length + "\r\n\r\n" + new String(body, StandardCharsets.UTF_8));
            return;
        }
        int tokensOut = Integer.parseInt(usage.split(",")[1].trim());
        int events = Math.max(1, (tokensOut + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT);
        String after = head.get("last-event-id");
        write(out, headOf(head, 200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + id + " " + head.get("x-request-id") + " " + event + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Time.sleep(gapMs);
        }
        write(out, "0\r\n\r\n");
    }

    /** The status line and the usual header fields of an answer. */
    String headOf(Http.Head request, int status, String contentType) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Type: " + contentType + "\r\n");
        if (request.get("x-request-id") != null) head.append("X-Request-Id: ").append(request.get("x-request-id")).append("\r\n");
        if (status != 421) head.append("X-Response-Seal: ").append(id).append(".").append(request.get("x-request-id")).append("\r\n");
        head.append("X-Server-Load: ").append(running.get()).append(",0,").append(slots).append("\r\nKeep-Alive: timeout=60\r\n");
        extraHeaders.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.toString();
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Ends this worker without notice: its listener and its connections are closed. */
    void crash() {
        isClosed = true;
        try {
            listener.close();
        } catch (IOException ignored) {
            // It is closed.
        }
        for (Socket socket : connections) {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }

    @Override
    public void close() {
        crash();
    }
}
