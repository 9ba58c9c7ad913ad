import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** Two of four model workers send bytes without end while they stream; the router must go on serving the requests at sound workers. */
final class Case6 extends Case {
    private static final int STREAMS = 200;
    private static final int ORDERS = 20;
    private volatile boolean inTrouble;
    private volatile boolean over;

    public static void main(String[] arguments) {
        new Case6().runAndExit("6");
    }

    /** A model worker whose running streams turn into bytes without an end of an event once it is in trouble. */
    private final class ModelWorker extends Worker {
        private final boolean failing;

        ModelWorker(String id, boolean failing) throws IOException {
            super(store, id, Site.MODEL, 64);
            this.failing = failing;
        }

        @Override
        boolean handle(Http request, OutputStream out) throws IOException {
            began(request);
            int events = (Integer.parseInt(request.header("X-Token-Usage").split(",")[1]) + 4) / 5;
            // The answer has no length and ends with its connection.
            send(out, headOf(request, 200) + "Content-Type: text/event-stream\r\n\r\n");
            String lastId = request.header("Last-Event-Id");
            for (int event = lastId == null ? 1 : Integer.parseInt(lastId) + 1; event <= events; event++) {
                Threads.sleep(100);
                if (failing && inTrouble && trouble) sendWithoutEnd(out);
                send(out, "id: " + event + "\ndata: " + "e".repeat(50) + "\n\n");
            }
            return false;
        }

        private void sendWithoutEnd(OutputStream out) throws IOException {
            byte[] bytes = new byte[16_384];
            Arrays.fill(bytes, (byte) 'x');
            while (true) out.write(bytes);
        }
    }

    /** A worker of the plain service: sound all the time, with a second of work for each order. */
    private final class LedgerWorker extends Worker {
        LedgerWorker(String id) throws IOException {
            super(store, id, Site.LEDGER, 64);
        }

        @Override
        void answer(Http request, OutputStream out) throws IOException {
            Threads.sleep(1_000);
            super.answer(request, out);
        }
    }

    @Override
    boolean run() throws Exception {
        store.put("op", "config", Site.config(7, 100_000_000, 15_000));
        for (int i = 1; i <= 4; i++) own(new ModelWorker("i-model-" + i, i <= 2));
        List<Worker> ledgers = List.of(own(new LedgerWorker("i-ledger-1")), own(new LedgerWorker("i-ledger-2")));
        Router router = own(new Router("router-1", store.address(), folder));
        router.start();
        router.awaitReady(20_000);
        log("the router is ready");

        List<Client.Answer> orders = new CopyOnWriteArrayList<>();
        Set<String> onKeptConnection = new HashSet<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDERS; i++) clients.add(Threads.start("orders", () -> sendOrders(router, orders, onKeptConnection)));
        List<Client.Answer> streams = new CopyOnWriteArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            // 62 s of events at most; the route's timeout ends them.
            clients.add(
                Threads.start(
                    "stream",
                    () -> streams.add(Client.once(router, "POST", "/assess/1", Site.prompt(300, 600), new byte[200], 15_000))));
            Threads.sleep(25);
        }
        Threads.sleep(500);
        inTrouble = true;
        log("two of four model workers begin to send bytes without end; streams sent: " + STREAMS);
        for (int i = 0; i < 20; i++) {
            Threads.sleep(500);
            log("router process alive: " + router.isAlive() + ", readiness: " + router.readinessStatus());
        }
        over = true;
        for (Thread client : clients) client.join(16_000);

        Set<String> run = Worker.runCounts(ledgers).keySet();
        int lost = 0;
        int served = 0;
        for (Client.Answer order : orders) {
            if (order.isSuccess()) served++;
            boolean isLost = order.status() == 0 && run.contains(order.requestId()) && onKeptConnection.contains(order.requestId());
            if (isLost && order.wasClosed()) {
                lost++;
                log("order without an answer: " + order);
            }
        }
        long completeStreams = streams.stream().filter(Client.Answer::isSuccess).count();
        log("streams: " + streams.size() + ", complete: " + completeStreams + "; orders: " + orders.size() + ", served: " + served);
        log("router process alive: " + router.isAlive());
        log("orders from kept connections that a sound worker got and whose connection was closed without an answer: " + lost + " (3 allowed)");
        router.logLines("OutOfMemory").forEach(line -> log("router: " + line));
        return lost <= 3;
    }

    private void sendOrders(Router router, List<Client.Answer> orders, Set<String> onKeptConnection) throws IOException {
        while (!over) {
            try (Client client = new Client(router)) {
                for (int i = 0; !over && !client.wasClosed; i++) {
                    String id = Client.nextId();
                    if (i > 0) {
                        synchronized (onKeptConnection) {
                            onKeptConnection.add(id);
                        }
                    }
                    orders.add(client.send(id, "POST", "/order/1", Site.AUTH, new byte[600], 15_000));
                    if (client.wasClosed) Threads.sleep(500);
                }
            } catch (IOException noConnection) {
                Threads.sleep(500);
            }
        }
    }
}
