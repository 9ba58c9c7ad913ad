import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the platform's metadata store: rows, transactions and change feeds, as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
    record Row(String table, String part, String key, String value, long version) {
        Map<String, Object> wire() {
            Map<String, Object> wire = Json.object("table", table, "part", part, "key", key, "row_version", version);
            if (value == null) wire.put("tombstone", true);
            else wire.put("value", value);
            return wire;
        }

        String path() {
            return table + "\u0000" + part + "\u0000" + key;
        }
    }

    private final ServerSocket listener;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final Set<Socket> connections = Collections.newSetFromMap(new ConcurrentHashMap<>());
    private final long startedAtNs = System.nanoTime();
    private long version = 500;
    private boolean closed;

    /** While true, no call is answered or has an effect: the store is unreachable and silent. */
    volatile boolean silent;

    /** Delay of each answer, in milliseconds. */
    volatile int answerMs = 4;

    Store() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes a row on behalf of the operator or a worker. */
    synchronized long put(String table, String key, Object value) {
        String text = Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
        return apply(new Row(table, "", key, text, ++version));
    }

    synchronized void delete(String table, String key) {
        apply(new Row(table, "", key, null, ++version));
    }

    /** Rows of a table, decoded. */
    synchronized Map<String, String> values(String table) {
        Map<String, String> values = new TreeMap<>();
        for (Row row : rows.values()) {
            if (row.table.equals(table)) values.put(row.key, new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8));
        }
        return values;
    }

    private long apply(Row row) {
        if (row.value == null) rows.remove(row.path());
        else rows.put(row.path(), row);
        history.add(row);
        notifyAll();
        return row.version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            connections.add(socket);
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http call = Http.readHead(in);
                if (call == null) return;
                call.readBody(in);
                // A connection on which an answer is lost delivers nothing further.
                if (silent) {
                    while (in.read() >= 0) continue;
                    return;
                }
                Object[] answer = handle(call);
                if (silent) {
                    while (in.read() >= 0) continue;
                    return;
                }
                Threads.sleep(answerMs);
                byte[] body = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
                OutputStream out = socket.getOutputStream();
                out.write(Bytes.join(head.getBytes(StandardCharsets.ISO_8859_1), body));
                out.flush();
            }
        } finally {
            connections.remove(socket);
        }
    }

    private Object[] handle(Http call) {
        String path = call.target().split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (call.target().contains("?")) {
            for (String pair : call.target().split("\\?", 2)[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return switch (path) {
            case "/-/rows-tx" -> transact(Json.parseObject(call.bodyText()));
            case "/-/rows-get" -> read(query);
            case "/-/rows-feed" -> feed(query);
            default -> new Object[] {404, Json.object()};
        };
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] transact(Map<String, Object> call) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) call.getOrDefault("expected", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) call.getOrDefault("puts", List.of());
        List<Map<String, Object>> deletes = (List<Map<String, Object>>) call.getOrDefault("delete", List.of());
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> check : expected) {
            Row row = rows.get(pathOf(check));
            if (row != null) current.add(row.wire());
            if ((row == null ? 0 : row.version) != ((Number) check.get("row_version")).longValue()) holds = false;
        }
        if (!holds) return new Object[] {412, Json.object("rows", current, "row_version", version, "now_ms", nowMs())};
        version++;
        for (Map<String, Object> put : puts) apply(rowOf(put, (String) put.get("value")));
        for (Map<String, Object> delete : deletes) apply(rowOf(delete, null));
        return new Object[] {200, Json.object("row_version", version, "now_ms", nowMs())};
    }

    private static String pathOf(Map<String, Object> row) {
        return row.get("table") + "\u0000" + row.getOrDefault("part", "") + "\u0000" + row.get("key");
    }

    private Row rowOf(Map<String, Object> row, String value) {
        return new Row((String) row.get("table"), (String) row.getOrDefault("part", ""), (String) row.get("key"), value, version);
    }

    private synchronized Object[] read(Map<String, String> query) {
        String prefix = query.get("table") + "\u0000" + query.getOrDefault("part", "") + "\u0000";
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Row row : rows.tailMap(prefix + query.getOrDefault("from", "")).values()) {
            if (!row.path().startsWith(prefix)) break;
            if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) break;
            if (found.size() == limit) {
                more = true;
                break;
            }
            found.add(row.wire());
        }
        return new Object[] {200, Json.object("rows", found, "has_more", more, "row_version", version, "now_ms", nowMs())};
    }

    private synchronized Object[] feed(Map<String, String> query) {
        long since = Long.parseLong(query.get("since_rev"));
        long untilMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version > since; i--) {
                if (history.get(i).table.equals(query.get("table"))) changes.add(0, history.get(i).wire());
            }
            long waitMs = untilMs - nowMs();
            if (!changes.isEmpty() || waitMs <= 0 || closed) {
                return new Object[] {200, Json.object("rows", changes, "row_version", version, "now_ms", nowMs())};
            }
            try {
                wait(waitMs);
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
                return new Object[] {503, Json.object()};
            }
        }
    }

    private long nowMs() {
        return (System.nanoTime() - startedAtNs) / 1_000_000 + 50_000;
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        notifyAll();
        listener.close();
        for (Socket socket : connections) socket.close();
    }
}
