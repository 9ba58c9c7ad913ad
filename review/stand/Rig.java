import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the platform's store, of workers and of clients, and the start of routers, for the scripts under review/. */
public class Rig {
    static final Path ROOT = Paths.get("").toAbsolutePath();
    static final long T0 = System.nanoTime();
    static final List<Process> PROCESSES = Collections.synchronizedList(new ArrayList<>());
    static final ExecutorService POOL = Executors.newCachedThreadPool(r -> { Thread t = new Thread(r); t.setDaemon(true); return t; });
    static PrintWriter record;

    static long now() { return (System.nanoTime() - T0) / 1_000_000; }

    static synchronized void log(String s) {
        String line = String.format("%8d %s", now(), s);
        System.out.println(line);
        if (record != null) { record.println(line); record.flush(); }
    }

    static void sleep(long ms) { try { Thread.sleep(Math.max(0, ms)); } catch (InterruptedException e) { throw new RuntimeException(e); } }

    // ---------------------------------------------------------------- HTTP

    static class Msg {
        String first = "";
        List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        boolean complete;

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String method() { return first.split(" ")[0]; }
        String target() { return first.split(" ")[1]; }
        int status() { return Integer.parseInt(first.split(" ")[1]); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) return b.size() == 0 ? null : b.toString(StandardCharsets.ISO_8859_1);
            if (c == '\n') {
                String s = b.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            b.write(c);
        }
    }

    static Msg readHead(InputStream in) throws IOException {
        Msg m = new Msg();
        String line = readLine(in);
        if (line == null) return null;
        m.first = line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int i = line.indexOf(':');
            if (i > 0) m.headers.add(new String[] {line.substring(0, i).trim(), line.substring(i + 1).trim()});
        }
        return m;
    }

    /** Reads a body that has a length or chunks; one with neither is read to the end of the connection if it is an answer. */
    static void readBody(InputStream in, Msg m, boolean isAnswer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            String te = m.header("Transfer-Encoding"), cl = m.header("Content-Length");
            if (te != null && te.toLowerCase().contains("chunked")) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) return;
                    int n = Integer.parseInt(line.split(";")[0].trim(), 16);
                    if (n == 0) {
                        while ((line = readLine(in)) != null && !line.isEmpty()) { }
                        m.complete = line != null;
                        return;
                    }
                    for (int left = n; left > 0; ) {
                        byte[] b = new byte[Math.min(left, 8192)];
                        int k = in.read(b);
                        if (k < 0) return;
                        out.write(b, 0, k);
                        left -= k;
                    }
                    readLine(in);
                }
            } else if (cl != null) {
                int n = Integer.parseInt(cl.trim());
                byte[] b = in.readNBytes(n);
                out.write(b);
                m.complete = b.length == n;
            } else if (isAnswer) {
                int k;
                byte[] b = new byte[8192];
                while ((k = in.read(b)) >= 0) out.write(b, 0, k);
                m.complete = true;
            } else m.complete = true;
        } finally {
            m.body = out.toByteArray();
        }
    }

    static byte[] bytes(String s) { return s.getBytes(StandardCharsets.ISO_8859_1); }

    // ---------------------------------------------------------------- JSON

    static class Json {
        final String s;
        int i;

        Json(String s) { this.s = s; }

        static Object parse(String s) { return new Json(s).value(); }

        void ws() { while (i < s.length() && Character.isWhitespace(s.charAt(i))) i++; }

        Object value() {
            ws();
            char c = s.charAt(i);
            if (c == '{') {
                Map<String, Object> m = new LinkedHashMap<>();
                i++;
                ws();
                if (s.charAt(i) == '}') { i++; return m; }
                while (true) {
                    ws();
                    String k = string();
                    ws();
                    i++;
                    m.put(k, value());
                    ws();
                    if (s.charAt(i++) == '}') return m;
                }
            }
            if (c == '[') {
                List<Object> l = new ArrayList<>();
                i++;
                ws();
                if (s.charAt(i) == ']') { i++; return l; }
                while (true) {
                    l.add(value());
                    ws();
                    if (s.charAt(i++) == ']') return l;
                }
            }
            if (c == '"') return string();
            int j = i;
            while (i < s.length() && ",]} \r\n\t".indexOf(s.charAt(i)) < 0) i++;
            String t = s.substring(j, i);
            if (t.equals("true")) return true;
            if (t.equals("false")) return false;
            if (t.equals("null")) return null;
            return t.contains(".") || t.contains("e") ? (Object) Double.valueOf(t) : (Object) Long.valueOf(t);
        }

        String string() {
            StringBuilder b = new StringBuilder();
            i++;
            while (true) {
                char c = s.charAt(i++);
                if (c == '"') return b.toString();
                if (c != '\\') { b.append(c); continue; }
                c = s.charAt(i++);
                switch (c) {
                    case 'n': b.append('\n'); break;
                    case 't': b.append('\t'); break;
                    case 'r': b.append('\r'); break;
                    case 'b': b.append('\b'); break;
                    case 'f': b.append('\f'); break;
                    case 'u': b.append((char) Integer.parseInt(s.substring(i, i + 4), 16)); i += 4; break;
                    default: b.append(c);
                }
            }
        }
    }

    static String quote(String s) {
        StringBuilder b = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            if (c == '"' || c == '\\') b.append('\\').append(c);
            else if (c < 32) b.append(String.format("\\u%04x", (int) c));
            else b.append(c);
        }
        return b.append('"').toString();
    }

    // ---------------------------------------------------------------- store

    /** The platform's store: rows, transactions with conditions, ranges and feeds of changes. */
    static class Store {
        final ServerSocket socket;
        final TreeMap<String, String[]> rows = new TreeMap<>();
        final TreeMap<Long, List<String>> history = new TreeMap<>();
        long version = 1;
        volatile String keepAlive = "timeout=60";
        volatile int answerMs = 3;
        /** Whether the answer to this call is lost; the connection then delivers nothing more. */
        volatile java.util.function.Predicate<Msg> losesAnswer = m -> false;
        final AtomicInteger calls = new AtomicInteger();

        Store() throws IOException {
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            POOL.submit(() -> {
                while (true) {
                    Socket s = socket.accept();
                    POOL.submit(() -> serve(s));
                }
            });
        }

        int port() { return socket.getLocalPort(); }

        static String id(String table, String part, String key) { return table + "\u0001" + part + "\u0001" + key; }

        synchronized long put(String table, String key, String value) {
            version++;
            String id = id(table, "", key);
            if (value == null) rows.remove(id);
            else rows.put(id, new String[] {Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), "" + version});
            history.put(version, new ArrayList<>(List.of(id)));
            notifyAll();
            return version;
        }

        void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Msg m = readHead(in);
                    if (m == null) return;
                    readBody(in, m, false);
                    calls.incrementAndGet();
                    boolean loses = losesAnswer.test(m);
                    String[] answer = answer(m);
                    sleep(answerMs);
                    if (loses) { sleep(20_000); return; }
                    byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + answer[0] + "\r\nContent-Type: application/json\r\n"
                        + (keepAlive == null ? "" : "Keep-Alive: " + keepAlive + "\r\n") + "Content-Length: " + body.length + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(bytes(head));
                    out.write(body);
                    s.getOutputStream().write(out.toByteArray());
                }
            } catch (IOException e) {
                // The caller has closed the connection.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }

        String[] answer(Msg m) throws Exception {
            URI uri = new URI("http://h" + m.target());
            Map<String, String> q = new HashMap<>();
            if (uri.getRawQuery() != null)
                for (String p : uri.getRawQuery().split("&")) {
                    int i = p.indexOf('=');
                    q.put(p.substring(0, i), URLDecoder.decode(p.substring(i + 1), "UTF-8"));
                }
            switch (uri.getPath()) {
                case "/-/rows-tx": return transact(m);
                case "/-/rows-get": return get(q);
                case "/-/rows-feed": return feed(q);
                default: return new String[] {"404 Not Found", "{}"};
            }
        }

        static String str(Object o) { return o == null ? "" : o.toString(); }

        @SuppressWarnings("unchecked")
        synchronized String[] transact(Msg m) {
            Map<String, Object> t = (Map<String, Object>) Json.parse(m.text());
            List<Object> expected = (List<Object>) t.getOrDefault("expected", List.of());
            List<Object> puts = (List<Object>) t.getOrDefault("puts", List.of());
            List<Object> deletes = (List<Object>) t.getOrDefault("delete", List.of());
            boolean fits = true;
            StringBuilder b = new StringBuilder();
            for (Object o : expected) {
                Map<String, Object> r = (Map<String, Object>) o;
                String id = id(str(r.get("table")), str(r.get("part")), str(r.get("key")));
                String[] row = rows.get(id);
                long have = row == null ? 0 : Long.parseLong(row[1]);
                long want = r.get("row_version") == null ? 0 : (Long) r.get("row_version");
                fits &= have == want;
                if (row != null) b.append(b.length() > 0 ? "," : "").append(rowJson(id, row));
            }
            if (!fits) return new String[] {"412 Precondition Failed", "{\"rows\":[" + b + "],\"row_version\":" + version + ",\"now_ms\":" + now() + "}"};
            if (!puts.isEmpty() || !deletes.isEmpty()) {
                version++;
                List<String> changed = new ArrayList<>();
                for (Object o : puts) {
                    Map<String, Object> r = (Map<String, Object>) o;
                    String id = id(str(r.get("table")), str(r.get("part")), str(r.get("key")));
                    rows.put(id, new String[] {str(r.get("value")), "" + version});
                    changed.add(id);
                }
                for (Object o : deletes) {
                    Map<String, Object> r = (Map<String, Object>) o;
                    String id = id(str(r.get("table")), str(r.get("part")), str(r.get("key")));
                    rows.remove(id);
                    changed.add(id);
                }
                history.put(version, changed);
                notifyAll();
            }
            return new String[] {"200 OK", "{\"row_version\":" + version + ",\"now_ms\":" + now() + "}"};
        }

        String rowJson(String id, String[] row) {
            String[] p = id.split("\u0001", -1);
            String base = "{\"table\":" + quote(p[0]) + ",\"part\":" + quote(p[1]) + ",\"key\":" + quote(p[2]);
            if (row == null) return base + ",\"tombstone\":true,\"row_version\":" + version + "}";
            return base + ",\"value\":" + quote(row[0]) + ",\"row_version\":" + row[1] + "}";
        }

        synchronized String[] get(Map<String, String> q) {
            String prefix = q.get("table") + "\u0001" + q.getOrDefault("part", "") + "\u0001";
            String from = prefix + q.getOrDefault("from", "");
            String to = q.containsKey("to") ? prefix + q.get("to") : prefix.substring(0, prefix.length() - 1) + "\u0002";
            int limit = Math.min(500, Integer.parseInt(q.getOrDefault("limit", "500")));
            StringBuilder b = new StringBuilder();
            int n = 0;
            boolean more = false;
            for (Map.Entry<String, String[]> e : rows.subMap(from, to).entrySet()) {
                if (n == limit) { more = true; break; }
                b.append(n++ > 0 ? "," : "").append(rowJson(e.getKey(), e.getValue()));
            }
            return new String[] {"200 OK", "{\"rows\":[" + b + "],\"has_more\":" + more + ",\"row_version\":" + version + ",\"now_ms\":" + now() + "}"};
        }

        synchronized String[] feed(Map<String, String> q) throws InterruptedException {
            long since = Long.parseLong(q.get("since_rev"));
            long until = now() + Long.parseLong(q.getOrDefault("wait_ms", "0"));
            String prefix = q.get("table") + "\u0001";
            while (true) {
                LinkedHashSet<String> ids = new LinkedHashSet<>();
                for (List<String> l : history.tailMap(since, false).values()) for (String id : l) if (id.startsWith(prefix)) ids.add(id);
                long left = until - now();
                if (!ids.isEmpty() || left <= 0) {
                    StringBuilder b = new StringBuilder();
                    for (String id : ids) b.append(b.length() > 0 ? "," : "").append(rowJson(id, rows.get(id)));
                    return new String[] {"200 OK", "{\"rows\":[" + b + "],\"row_version\":" + version + ",\"now_ms\":" + now() + "}"};
                }
                wait(left);
            }
        }
    }

    // ---------------------------------------------------------------- workers

    interface Handler { void handle(Worker w, Msg m, OutputStream out, Socket s) throws Exception; }

    static class Worker {
        final String id, service;
        final ServerSocket socket;
        final Handler handler;
        final List<Msg> runs = Collections.synchronizedList(new ArrayList<>());
        final AtomicInteger beats = new AtomicInteger();
        final AtomicInteger atWork = new AtomicInteger();
        /** Whether the bodies of runs are kept, for a comparison. */
        volatile boolean keepsBodies = true;

        Worker(String id, String service, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.handler = handler;
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            POOL.submit(() -> {
                while (true) {
                    Socket s = socket.accept();
                    POOL.submit(() -> serve(s));
                }
            });
        }

        String entry(String state) {
            return "{\"service\":" + quote(service) + ",\"address\":\"127.0.0.1:" + socket.getLocalPort()
                + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":" + quote(state)
                + ",\"cold_remaining_ms\":0,\"sequence\":" + beats.incrementAndGet() + ",\"born\":1}";
        }

        void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                while (true) {
                    Msg m = readHead(in);
                    if (m == null) return;
                    String expected = m.header("X-Expect-Instance");
                    if (expected != null && !expected.equals(id)) {
                        readBody(in, m, false);
                        s.getOutputStream().write(bytes("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    readBody(in, m, false);
                    if (!keepsBodies) m.body = new byte[0];
                    runs.add(m);
                    atWork.incrementAndGet();
                    try {
                        handler.handle(this, m, s.getOutputStream(), s);
                    } finally {
                        atWork.decrementAndGet();
                    }
                    s.getOutputStream().flush();
                }
            } catch (IOException e) {
                // The connection was closed.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }
    }

    static String seal(Msg m) { return "X-Request-Id: " + m.header("X-Request-Id") + "\r\nX-Response-Seal: s." + m.header("X-Request-Id") + "\r\n"; }

    static void answer(Msg m, OutputStream out, String body) throws IOException {
        out.write(bytes("HTTP/1.1 200 OK\r\n" + seal(m) + "Keep-Alive: timeout=30\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
    }

    static void chunk(OutputStream out, String text) throws IOException {
        out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
        out.flush();
    }

    // ---------------------------------------------------------------- clients

    static Msg call(int port, String request, int timeoutMs) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write(bytes(request));
            return receive(s);
        }
    }

    static Msg receive(Socket s) throws IOException {
        InputStream in = new BufferedInputStream(s.getInputStream());
        Msg m = readHead(in);
        if (m == null) return null;
        readBody(in, m, true);
        return m;
    }

    // ---------------------------------------------------------------- routers

    static int freePort() {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { return s.getLocalPort(); } catch (IOException e) { throw new UncheckedIOException(e); }
    }

    static class Router {
        final String name;
        final int front, readiness, metrics, peers;
        final Path settings, output;
        Process process;

        Router(String name, int storePort, Path folder) throws IOException {
            this.name = name;
            front = freePort();
            readiness = freePort();
            metrics = freePort();
            peers = freePort();
            settings = folder.resolve(name + ".json");
            output = folder.resolve(name + ".log");
            Files.writeString(settings, render(Files.readString(ROOT.resolve("deploy/settings.json.template")), storePort));
        }

        /** Fills in the template of the settings, as the platform does, with free ports of the loopback address. */
        String render(String template, int storePort) {
            String[][] values = {{"node_name", name}, {"ip", "127.0.0.1"}, {"region", "r1"}, {"zone", "z1"}, {"listen.front", "127.0.0.1:" + front},
                {"listen.readiness", "127.0.0.1:" + readiness}, {"internal_ports.0", "" + peers}, {"provider.address", "127.0.0.1:" + storePort},
                {"bootstrap", "true"}, {"bounds.grace_s", "8"}, {"bounds.retry_budget_ratio", "0.2"}, {"bounds.budget_slack", "54"}, {"bounds.budget_window_s", "10"}};
            for (String[] v : values) template = template.replace("{{" + v[0] + "}}", v[1]);
            if (template.contains("{{")) throw new IllegalStateException("the template has an unknown field: " + template);
            return template.replace("127.0.0.1:9464", "127.0.0.1:" + metrics);
        }

        /** Starts the router with the command of the deploy file. */
        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml")))
                if (line.startsWith("run = ")) run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            ProcessBuilder b = new ProcessBuilder(run.split(" "));
            b.directory(ROOT.toFile());
            b.environment().put("LYCHEEMOUNT_NODE_FILE", settings.toString());
            b.redirectErrorStream(true);
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
            process = b.start();
            PROCESSES.add(process);
        }

        boolean isReady() {
            try {
                Msg m = call(readiness, "GET /-/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 1000);
                return m != null && m.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (isReady()) return;
                sleep(100);
            }
            throw new IllegalStateException(name + " isn't ready");
        }

        void signal(String name) throws Exception { new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor(); }
    }

    static void endAll() {
        for (Process p : PROCESSES) {
            p.destroyForcibly();
            try { p.waitFor(5, TimeUnit.SECONDS); } catch (InterruptedException e) { return; }
        }
    }

    interface Body { boolean run(boolean trouble, Path folder) throws Exception; }

    /** Runs a case and exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run. */
    static void main(String number, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        Path folder = null;
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
        Thread limit = new Thread(() -> { sleep(112_000); log("the case took too long"); endAll(); Runtime.getRuntime().halt(2); });
        limit.setDaemon(true);
        limit.start();
        try {
            record = new PrintWriter(Files.newBufferedWriter(ROOT.resolve(System.getProperty("record", "review/" + number + "/record.txt"))));
            folder = Files.createTempDirectory("review-" + number + "-");
            log("case " + number + ", disruption " + (trouble ? "on" : "off"));
            boolean broken = body.run(trouble, folder);
            log(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
            code = broken ? 1 : 0;
        } catch (Throwable e) {
            log("RESULT: the case couldn't run: " + e);
            e.printStackTrace();
        } finally {
            endAll();
            if (folder != null) try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException e) { }
        }
        Runtime.getRuntime().halt(code);
    }

    static Store store;
    static final AtomicInteger IDS = new AtomicInteger();

    static String nextId() { return String.format("%04x%012x", ProcessHandle.current().pid() & 0xffff, IDS.incrementAndGet()); }

    static String tenants() {
        StringBuilder b = new StringBuilder("[");
        for (int i = 0; i < 10; i++)
            b.append(i > 0 ? "," : "").append("{\"name\":\"tenant" + i + "\",\"api_keys\":[\"key" + i + "\"],\"priority\":1,\"prepay\":1810849}");
        return b + "]";
    }

    static String head(String method, String path, String id, int key, int deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMs
            + "\r\nAuthorization: Bearer key" + key + "\r\n" + more + "\r\n";
    }

    /** Keeps the entries of live workers in the store. */
    static void beat(Collection<Worker> workers) {
        for (Worker w : workers) store.put("servers", w.id, w.entry("ready"));
        POOL.submit(() -> { while (true) { sleep(1200); for (Worker w : workers) store.put("servers", w.id, w.entry("ready")); } });
    }

    /** A configuration: 'routes' and 'tenants' are JSON lists. */
    static String config(long version, String routes, String tenants) {
        return "{\"version\":" + version + ",\"routes\":" + routes + ",\"services\":["
            + "{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":501431,\"kv_token_bytes\":163840,\"link_mbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"shop\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":" + tenants + "}";
    }

    static String route(String name, String prefix, String kind, String service, long timeoutMs, int attempts, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs
            + ",\"target_latency_ms\":600,\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
            + ",\"public\":false,\"sticky\":true,\"resumable\":" + resumable + ",\"gap_target_ms\":200}";
    }
}
