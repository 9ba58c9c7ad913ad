import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** One part of a prompt crashes each worker that begins to write an answer on it; its first event gets out. */
public class Case3 extends Rig {
    static final String DEADLY = "dead0001";
    static final int EVENTS_BEFORE_CRASH = Integer.getInteger("events", 1);
    static final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
    static final List<Long> deadlyRuns = Collections.synchronizedList(new ArrayList<>());
    static volatile boolean isDeadly;

    /** A worker that crashes on the part and is back, as a new run, after 3 s. */
    static class CrashingWorker {
        final String name;
        final int port = freePort();
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        ServerSocket socket;
        int run;
        volatile boolean isUp;

        CrashingWorker(String name) throws IOException {
            this.name = name;
            start();
            POOL.submit(() -> { while (true) { sleep(1200); if (isUp) store.put("servers", id(), entry()); } });
        }

        String id() { return name + "-" + run; }

        String entry() {
            return "{\"service\":\"llm\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                + "\"cold_remaining_ms\":0,\"sequence\":" + IDS.incrementAndGet() + ",\"born\":" + (1764950000000L + run) + "}";
        }

        void start() throws IOException {
            run++;
            ServerSocket mine = new ServerSocket();
            mine.setReuseAddress(true);
            mine.bind(new InetSocketAddress("127.0.0.1", port), 500);
            socket = mine;
            isUp = true;
            store.put("servers", id(), entry());
            POOL.submit(() -> {
                while (true) {
                    Socket s = mine.accept();
                    open.add(s);
                    POOL.submit(() -> serve(s));
                }
            });
        }

        synchronized void crash() {
            if (!isUp) return;
            isUp = false;
            crashes.add(now());
            log("worker " + id() + " crashes");
            String ended = id();
            try {
                socket.close();
                for (Socket s : open) { s.setSoLinger(true, 0); s.close(); }
            } catch (IOException e) { }
            open.clear();
            POOL.submit(() -> { sleep(3000); store.put("servers", ended, null); start(); return null; });
        }

        void serve(Socket s) {
            try (s) {
                s.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                while (true) {
                    Msg m = readHead(in);
                    if (m == null) return;
                    readBody(in, m, false);
                    boolean deadly = m.header("X-Prompt-Prefix").contains(DEADLY + ":");
                    if (deadly) {
                        deadlyRuns.add(now());
                        log("request " + m.header("X-Request-Id") + " with the part reaches worker " + id());
                    }
                    sleep(60);
                    out.write(bytes("HTTP/1.1 200 OK\r\n" + seal(m) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                    String from = m.header("Last-Event-Id");
                    int first = from == null ? 1 : Integer.parseInt(from) + 1;
                    for (int i = first; i <= 10; i++) {
                        if (deadly && isDeadly && i - first >= EVENTS_BEFORE_CRASH) {
                            sleep(3);
                            crash();
                            return;
                        }
                        chunk(out, "id: " + i + "\ndata: p" + i + "\n\n");
                        sleep(30);
                    }
                    out.write(bytes("0\r\n\r\n"));
                }
            } catch (IOException e) {
                // The connection was closed.
            } finally {
                open.remove(s);
            }
        }
    }

    public static void main(String[] args) {
        main("3", (trouble, folder) -> {
            isDeadly = trouble;
            store = new Store();
            store.put("op", "config", config(1, "[" + route("r-chat", "/chat/", "streaming", "llm", 15000, 2, true) + "]", tenants()));
            for (int i = 0; i < 9; i++) new CrashingWorker("i-llm" + i);
            List<Router> routers = List.of(new Router("ra", store.port(), folder), new Router("rb", store.port(), folder));
            for (Router r : routers) r.start();
            for (Router r : routers) r.awaitReady();
            sleep(2000);
            TreeMap<String, Integer> results = new TreeMap<>();
            long end = now() + 30_000;
            for (int n = 0; now() < end; n++) {
                boolean deadly = n % 10 == 9;
                Router router = routers.get((n / 3) % 2);
                String id = nextId(), own = id.substring(8);
                String tokens = "X-Model: m\r\nX-Token-Usage: 150,50\r\nX-Prompt-Prefix: aaaa0001:50," + (deadly ? DEADLY : "bbbb0001") + ":50," + own + ":50\r\n";
                POOL.submit(() -> {
                    String r;
                    try {
                        Msg m = call(router.front, head("POST", "/chat/new", id, 0, 15000, tokens + "Content-Length: 5\r\n") + "hello", 8000);
                        r = m == null ? "closed" : m.status() + (m.complete ? "" : " cut");
                    } catch (IOException e) {
                        r = "broken";
                    }
                    synchronized (results) { results.merge((deadly ? "with the part: " : "sound: ") + r, 1, Integer::sum); }
                    return null;
                });
                sleep(50);
            }
            sleep(3000);
            synchronized (results) { log("answers: " + results); }
            if (trouble && crashes.size() < 1 || results.getOrDefault("sound: 200", 0) < 20) throw new IllegalStateException("too little happened to judge");
            long after = crashes.size() < 5 ? Long.MAX_VALUE : crashes.get(4) + 3000;
            long late = deadlyRuns.stream().filter(t -> t > after).count();
            log("crashes " + crashes.size() + ", requests with the part at workers " + deadlyRuns.size()
                + ", later than 3 s (contact_ms) after the fifth crash " + late + " (more than 3 break the rule)");
            return trouble && late > 3;
        });
    }
}
