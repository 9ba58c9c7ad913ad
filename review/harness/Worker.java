import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a worker: registers in the store, and runs requests as PROTOCOL.md describes. */
class Worker implements AutoCloseable {
    /** A request that this worker began to work on. */
    record Run(String requestId, long atMs) {}

    final String id;
    final String service;
    final int slots;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Store store;
    private final ServerSocket listener;
    private final Set<Socket> connections = Collections.newSetFromMap(new ConcurrentHashMap<>());
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean registered = true;
    private volatile boolean ended;
    volatile String state = "ready";
    private long sequence;

    Worker(Store store, String id, String service, int slots) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.slots = slots;
        listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, this::accept);
        Threads.start(id + "-beat", this::beat);
    }

    private void beat() {
        while (!ended) {
            if (registered && !store.silent) writeEntry();
            Threads.sleep(1_200);
        }
    }

    synchronized void writeEntry() {
        store.put(
            "servers",
            id,
            Json.object(
                "service", service, "address", "127.0.0.1:" + listener.getLocalPort(), "zone", "fraser", "version", "v1", "slots", slots,
                "state", state, "cold_remaining_ms", 0, "sequence", ++sequence, "born", bornMs));
    }

    /** Stops writing the entry; removes it if the store can be reached. */
    void deregister() {
        registered = false;
        if (!store.silent) store.delete("servers", id);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            connections.add(socket);
            Threads.start(id + "-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http request = Http.readHead(in);
                if (request == null) return;
                request.readBody(in);
                String expected = request.header("X-Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    send(out, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (!handle(request, out)) return;
            }
        } finally {
            connections.remove(socket);
        }
    }

    /** Handles one request; returns whether the connection stays open. */
    boolean handle(Http request, OutputStream out) throws IOException {
        began(request);
        answer(request, out);
        return true;
    }

    /** Records that this worker has begun to work on a request. */
    void began(Http request) {
        runs.add(new Run(request.header("X-Request-Id"), Clock.ms()));
    }

    /** Headers that a worker adds to each answer. */
    String extraHeaders() {
        return "";
    }

    /** Answers as a sound worker: events for a request with a prompt, else a body of 800 bytes. */
    void answer(Http request, OutputStream out) throws IOException {
        String usage = request.header("X-Token-Usage");
        if (usage == null) {
            Threads.sleep(20);
            send(out, headOf(request, 200) + "Content-Type: application/octet-stream\r\nContent-Length: 800\r\n\r\n" + "b".repeat(800));
            return;
        }
        int tokens = Integer.parseInt(usage.split(",")[1].trim());
        int events = (tokens + 4) / 5;
        send(out, headOf(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        String lastId = request.header("Last-Event-Id");
        for (int event = lastId == null ? 1 : Integer.parseInt(lastId) + 1; event <= events; event++) {
            Threads.sleep(eventMs());
            sendChunk(out, "id: " + event + "\ndata: " + "e".repeat(50) + "\n\n");
        }
        send(out, "0\r\n\r\n");
    }

    long eventMs() {
        return 20;
    }

    final String headOf(Http request, int status) {
        return "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Response-Seal: " + id + "."
            + request.header("X-Request-Id") + "\r\nX-Server-Load: 1,0," + slots + "\r\n" + extraHeaders();
    }

    final void sendChunk(OutputStream out, String text) throws IOException {
        send(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    final void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Number of runs of each request. */
    static Map<String, Integer> runCounts(List<Worker> workers) {
        Map<String, Integer> counts = new ConcurrentHashMap<>();
        for (Worker worker : workers) for (Run run : worker.runs) counts.merge(run.requestId, 1, Integer::sum);
        return counts;
    }

    /** Ends the worker: closes its listener and all connections. */
    @Override
    public void close() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : connections) socket.close();
    }
}
