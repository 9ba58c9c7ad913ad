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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of the platform's metadata store: rows-tx, rows-get and rows-feed. It can be away, and can come back from an earlier copy, with
 * the versions of that copy and a Store-Era that is greater by one.
 */
final class Store implements AutoCloseable {
    private static final int PAGE_ROWS = 500;
    private static final long HISTORY_MS = 20_000;

    private record RowId(String table, String part, String key) implements Comparable<RowId> {
        public int compareTo(RowId other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    private record Row(String value, long version) { }

    private record Change(RowId id, String value, long version, long atMs) { }

    /** State of the store at one moment. */
    static final class Copy {
        private final TreeMap<RowId, Row> rows;
        private final List<Change> history;
        private final long version;
        final long atMs;

        private Copy(TreeMap<RowId, Row> rows, List<Change> history, long version, long atMs) {
            this.rows = rows;
            this.history = history;
            this.version = version;
            this.atMs = atMs;
        }
    }

    private TreeMap<RowId, Row> rows = new TreeMap<>();
    private List<Change> history = new ArrayList<>();
    private long version = 1;
    private long forgottenUpTo = 0;
    private int era = 1;
    private volatile boolean isAway;
    /** One path to the store, which can be cut. */
    private final class Path implements Runnable {
        final ServerSocket listener;
        final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        volatile boolean isCut;

        Path() throws IOException {
            listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
            Thread thread = new Thread(this, "store");
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void run() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    if (isAway || isCut) {
                        Store.close(socket);
                        continue;
                    }
                    connections.add(socket);
                    Thread thread = new Thread(() -> serve(socket, this), "store-connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException ended) {
                    // The listener is closed, or this connection is of no use.
                }
            }
        }
    }

    private final Map<String, Path> paths = new ConcurrentHashMap<>();
    /** Answers that have been given, by call and status. */
    final Map<String, Integer> calls = new ConcurrentHashMap<>();

    /** The address of the store for all machines. */
    String address() throws IOException {
        return addressFor("");
    }

    /** An address of the store that only the machine of this name uses. */
    synchronized String addressFor(String machine) throws IOException {
        Path path = paths.get(machine);
        if (path == null) {
            path = new Path();
            paths.put(machine, path);
        }
        return "127.0.0.1:" + path.listener.getLocalPort();
    }

    /** Cuts the path of a machine to the store: its connections are reset, and new ones are. */
    void cut(String machine) {
        Path path = paths.get(machine);
        path.isCut = true;
        for (Socket socket : path.connections) close(socket);
    }

    /** Heals the path of a machine. */
    void heal(String machine) {
        paths.get(machine).isCut = false;
    }

    synchronized long version() {
        return version;
    }

    synchronized int era() {
        return era;
    }

    /** Writes a row of the operator or of a worker; null removes it. Returns its version. */
    synchronized long put(String table, String key, String json) {
        version++;
        set(new RowId(table, "", key), json == null ? null : Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return version;
    }

    /** The value of a row as text; null if there is none. */
    synchronized String get(String table, String part, String key) {
        Row row = rows.get(new RowId(table, part, key));
        return row == null ? null : new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
    }

    /** The values of the rows of a table whose keys begin with a prefix. */
    synchronized Map<String, String> list(String table, String prefix) {
        Map<String, String> found = new LinkedHashMap<>();
        for (Map.Entry<RowId, Row> entry : rows.entrySet()) {
            RowId id = entry.getKey();
            if (id.table.equals(table) && id.key.startsWith(prefix)) found.put(id.key, get(id.table, id.part, id.key));
        }
        return found;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(rows), new ArrayList<>(history), version, nowMs());
    }

    /** The store is away: connections end without an answer, and new ones are closed. */
    void leave() {
        isAway = true;
        synchronized (this) {
            notifyAll();
        }
        closeAll();
    }

    private void closeAll() {
        for (Path path : paths.values()) {
            for (Socket socket : path.connections) close(socket);
        }
    }

    /** The store is back as it was. */
    void comeBack() {
        isAway = false;
    }

    /** The store is back from an earlier copy. */
    synchronized void comeBackFrom(Copy copy) {
        rows = new TreeMap<>(copy.rows);
        history = new ArrayList<>(copy.history);
        version = copy.version;
        era++;
        isAway = false;
        notifyAll();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void set(RowId id, String value) {
        if (value == null) rows.remove(id);
        else rows.put(id, new Row(value, version));
        history.add(new Change(id, value, version, nowMs()));
        while (!history.isEmpty() && nowMs() - history.get(0).atMs > HISTORY_MS) forgottenUpTo = history.remove(0).version;
    }

    private void serve(Socket socket, Path path) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                byte[] body = Http.readBody(in, head);
                Thread.sleep(3);
                byte[] answer = answer(head, new String(body, StandardCharsets.UTF_8));
                if (answer == null) return;
                out.write(answer);
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has gone.
        } finally {
            path.connections.remove(socket);
        }
    }

    private byte[] answer(Http.Head head, String body) throws InterruptedException {
        String[] target = head.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        synchronized (this) {
            if (isAway) return null;
            int eraAtCall = era;
            int status = 200;
            String json = "{}";
            if (target[0].equals("/-/rows-tx")) {
                List<String> current = transact(Json.object(Json.parse(body)));
                status = current == null ? 200 : 412;
                json = json(current == null ? List.of() : current, false, version);
            } else if (target[0].equals("/-/rows-get")) {
                json = read(query);
            } else if (target[0].equals("/-/rows-feed")) {
                json = feed(query);
                status = json == null ? 410 : 200;
                if (json == null) json = "{}";
                if (isAway || era != eraAtCall) return null;
            } else {
                status = 404;
            }
            calls.merge(target[0] + " " + status, 1, Integer::sum);
            byte[] content = json.getBytes(StandardCharsets.UTF_8);
            byte[] start = ("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nStore-Era: " + era + "\r\nContent-Length: "
                + content.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = new byte[start.length + content.length];
            System.arraycopy(start, 0, whole, 0, start.length);
            System.arraycopy(content, 0, whole, start.length, content.length);
            return whole;
        }
    }

    private static RowId id(Map<String, Object> row) {
        Object part = row.get("part");
        return new RowId((String) row.get("table"), part == null ? "" : (String) part, (String) row.get("key"));
    }

    /** Returns null if the transaction was applied, else the current rows that it expected otherwise. */
    private List<String> transact(Map<String, Object> call) {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object item : Json.list(call.get("expected"))) {
            Map<String, Object> expected = Json.object(item);
            Row row = rows.get(id(expected));
            long has = row == null ? 0 : row.version;
            if (has != (Long) expected.get("row_version")) holds = false;
            if (row != null) current.add(json(id(expected), row.value, row.version));
        }
        if (!holds) return current;
        version++;
        for (Object item : Json.list(call.get("puts"))) set(id(Json.object(item)), (String) Json.object(item).get("value"));
        for (Object item : Json.list(call.get("delete"))) set(id(Json.object(item)), null);
        notifyAll();
        return null;
    }

    private String read(Map<String, String> query) {
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
        List<String> found = new ArrayList<>();
        boolean hasMore = false;
        for (Map.Entry<RowId, Row> entry : rows.tailMap(new RowId(table, part, query.getOrDefault("from", ""))).entrySet()) {
            RowId id = entry.getKey();
            if (!id.table.equals(table) || !id.part.equals(part)) break;
            if (query.containsKey("to") && id.key.compareTo(query.get("to")) >= 0) break;
            if (found.size() == limit) {
                hasMore = true;
                break;
            }
            found.add(json(id, entry.getValue().value, entry.getValue().version));
        }
        return json(found, hasMore, version);
    }

    /** Returns null if the history is not available. */
    private String feed(Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("since_rev"));
        long endMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        int eraAtCall = era;
        while (true) {
            if (since > version || since < forgottenUpTo) return null;
            List<String> found = new ArrayList<>();
            for (Change change : history) {
                if (change.version > since && change.id.table.equals(query.get("table"))) found.add(json(change.id, change.value, change.version));
            }
            long leftMs = endMs - nowMs();
            if (!found.isEmpty() || leftMs <= 0 || isAway || era != eraAtCall) return json(found, false, version);
            wait(leftMs);
        }
    }

    private static String json(RowId id, String value, long version) {
        String content = value == null ? "\"tombstone\":true" : "\"value\":" + Json.quote(value);
        return "{\"table\":" + Json.quote(id.table) + ",\"part\":" + Json.quote(id.part) + ",\"key\":" + Json.quote(id.key) + "," + content
            + ",\"row_version\":" + version + "}";
    }

    private static String json(List<String> rows, boolean hasMore, long version) {
        return "{\"rows\":[" + String.join(",", rows) + "],\"has_more\":" + hasMore + ",\"row_version\":" + version + ",\"now_ms\":" + nowMs() + "}";
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed.
        }
    }

    @Override
    public void close() throws IOException {
        for (Path path : paths.values()) path.listener.close();
        closeAll();
    }
}
