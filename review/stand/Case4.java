import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** Clients that use a connection for one request, and say so, leave before the first event of their stream. */
public class Case4 extends Rig {
    static final int STREAMS = 40, FIRST_EVENT_MS = 2500, LEAVES_AFTER_MS = 300;
    static final Map<String, Long> leftAt = new ConcurrentHashMap<>(), endedAt = new ConcurrentHashMap<>(), cancelledAt = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        main("4", (trouble, folder) -> {
            String option = System.getProperty("connection", "close");
            store = new Store();
            List<LeavableWorker> workers = new ArrayList<>();
            for (int i = 0; i < 9; i++) workers.add(new LeavableWorker("i-llm" + i));
            store.put("op", "config", config(1, "[" + route("r-chat", "/chat/", "streaming", "llm", 15000, 1, false).replace("latency_ms\":600", "latency_ms\":5000") + "]", tenants()));
            for (LeavableWorker w : workers) store.put("servers", w.id, w.entry());
            POOL.submit(() -> { while (true) { sleep(1200); for (LeavableWorker w : workers) store.put("servers", w.id, w.entry()); } });
            List<Router> routers = List.of(new Router("ra", store.port(), folder), new Router("rb", store.port(), folder));
            for (Router r : routers) r.start();
            for (Router r : routers) r.awaitReady();
            sleep(1000);
            List<Future<?>> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                boolean leaves = trouble && i % 10 < 3;
                int n = i;
                clients.add(POOL.submit(() -> stream(routers.get(n % 2), n % 10, option, leaves)));
                sleep(150);
            }
            for (Future<?> c : clients) c.get(20, TimeUnit.SECONDS);
            sleep(5000);
            int reached = 0, still = 0;
            for (String id : leftAt.keySet()) {
                Long stopped = cancelledAt.containsKey(id) ? cancelledAt.get(id) : endedAt.get(id);
                if (stopped == null) continue;
                reached++;
                long after = stopped - leftAt.get(id);
                if (after > 500) still++;
                log("stream " + id + ": its worker was at work until " + after + " ms after its client had closed the connection");
            }
            log("streams " + STREAMS + ", answered whole " + endedAt.size() + ", clients that left " + leftAt.size() + ", at workers by then " + reached
                + ", still at work half a second later " + still + " (more than a quarter break the rule)");
            if (trouble && reached < 8 || endedAt.size() < (STREAMS - leftAt.size()) * 8 / 10) throw new IllegalStateException("too little happened to judge");
            return still * 4 > reached;
        });
    }

    /** A model worker that drops a request when its connection closes, as most do. */
    static class LeavableWorker {
        final String id;
        final ServerSocket socket;

        LeavableWorker(String id) throws IOException {
            this.id = id;
            socket = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            POOL.submit(() -> { while (true) { Socket s = socket.accept(); POOL.submit(() -> serve(s)); } });
        }

        String entry() {
            return "{\"service\":\"llm\",\"address\":\"127.0.0.1:" + socket.getLocalPort() + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":" + IDS.incrementAndGet() + ",\"born\":1764950000000}";
        }

        void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                PushbackInputStream in = new PushbackInputStream(s.getInputStream(), 1);
                OutputStream out = s.getOutputStream();
                while (true) {
                    Msg m = readHead(in);
                    if (m == null) return;
                    readBody(in, m, false);
                    String id = m.header("X-Request-Id");
                    if (!works(s, in, FIRST_EVENT_MS)) { cancelledAt.put(id, now()); return; }
                    out.write(bytes("HTTP/1.1 200 OK\r\n" + seal(m) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    for (int i = 1; i <= 40; i++) {
                        try {
                            chunk(out, "id: " + i + "\ndata: p" + i + "\n\n");
                        } catch (IOException e) {
                            cancelledAt.put(id, now());
                            return;
                        }
                        if (!works(s, in, 30)) { cancelledAt.put(id, now()); return; }
                    }
                    out.write(bytes("0\r\n\r\n"));
                    endedAt.put(id, now());
                }
            } catch (IOException e) {
                // The connection was closed.
            }
        }

        /** Works for a time; returns false as soon as the connection closes. */
        static boolean works(Socket s, PushbackInputStream in, int ms) throws IOException {
            s.setSoTimeout(ms);
            try {
                int c = in.read();
                if (c < 0) return false;
                in.unread(c);
                sleep(ms);
            } catch (SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            } finally {
                s.setSoTimeout(0);
            }
            return true;
        }
    }

    static Object stream(Router router, int key, String option, boolean leaves) throws Exception {
        String id = nextId();
        try (Socket s = new Socket("127.0.0.1", router.front)) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(15000);
            s.getOutputStream().write(bytes(head("POST", "/chat/new", id, key, 15000, "X-Model: m\r\nX-Token-Usage: 600,300\r\nX-Prompt-Prefix: aaaa:100,"
                + id.substring(8) + ":500\r\nConnection: " + option + "\r\nContent-Length: 5\r\n") + "hello"));
            if (leaves) {
                sleep(LEAVES_AFTER_MS);
                leftAt.put(id, now());
                log("client of stream " + id + " closes its connection");
                return null;
            }
            Msg m = receive(s);
            log("stream " + id + " answered " + (m == null ? "by a close" : m.first + (m.complete ? "" : ", cut")));
        }
        return null;
    }
}
