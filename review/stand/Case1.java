import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** Clients upload orders in chunks; three in ten leave between two chunks. */
public class Case1 extends Rig {
    static final int ORDERS = 40, CHUNKS = 4, CHUNK_BYTES = 200;

    public static void main(String[] args) {
        main("1", (trouble, folder) -> {
            store = new Store();
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 4; i++) workers.add(new Worker("i-shop" + i, "shop", (w, m, out, s) -> { sleep(20); answer(m, out, "done"); }));
            store.put("op", "config", config(1, "[" + route("r-order", "/order/", "non_idempotent", "shop", 600, 1, false) + "]", tenants()));
            beat(workers);
            List<Router> routers = List.of(new Router("ra", store.port(), folder), new Router("rb", store.port(), folder));
            for (Router r : routers) r.start();
            for (Router r : routers) r.awaitReady();

            Map<String, String> meant = new ConcurrentHashMap<>();
            Set<String> left = ConcurrentHashMap.newKeySet();
            List<Future<?>> clients = new ArrayList<>();
            for (int i = 0; i < ORDERS; i++) {
                boolean leaves = trouble && i % 10 < 3;
                Router router = routers.get(i % 2);
                clients.add(POOL.submit(() -> order(router, leaves, meant, left)));
                sleep(100);
            }
            for (Future<?> c : clients) c.get(10, TimeUnit.SECONDS);
            sleep(1500);

            int whole = 0, changed = 0;
            for (Worker w : workers)
                for (Msg m : List.copyOf(w.runs)) {
                    String id = m.header("X-Request-Id");
                    String body = meant.get(id);
                    if (m.text().equals(body)) { whole++; continue; }
                    changed++;
                    log("worker " + w.id + " ran order " + id + " of a client that " + (left.contains(id) ? "left" : "stayed") + " with " + m.body.length
                        + " of " + body.length() + " bytes as a complete body, Content-Length: " + m.header("Content-Length"));
                }
            log("orders " + ORDERS + ", clients that left " + left.size() + ", run whole " + whole + ", run with a changed body " + changed);
            if (whole < ORDERS - left.size()) throw new IllegalStateException("orders of clients that stayed weren't run");
            return changed > 0;
        });
    }

    static Object order(Router router, boolean leaves, Map<String, String> meant, Set<String> left) throws Exception {
        String id = nextId();
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < CHUNKS; i++) body.append(String.format("item %03d of order %s; ", i, id)).append("x".repeat(CHUNK_BYTES));
        meant.put(id, body.toString());
        int size = body.length() / CHUNKS;
        // The client doesn't use this connection again, and says so.
        try (Socket s = new Socket("127.0.0.1", router.front)) {
            s.setTcpNoDelay(true);
            s.setSoTimeout(2000);
            OutputStream out = s.getOutputStream();
            out.write(bytes(head("POST", "/order/new", id, 0, 600, "Transfer-Encoding: chunked\r\nConnection: close\r\n")));
            for (int i = 0; i < CHUNKS; i++) {
                chunk(out, body.substring(i * size, (i + 1) * size));
                sleep(40);
                if (leaves && i == 1) {
                    left.add(id);
                    log("client of order " + id + " leaves after " + (i + 1) + " of " + CHUNKS + " chunks");
                    return null;
                }
            }
            out.write(bytes("0\r\n\r\n"));
            Msg m = receive(s);
            log("order " + id + " answered " + (m == null ? "by a close" : m.first));
        }
        return null;
    }
}
