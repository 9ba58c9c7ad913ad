import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** The store is down while a worker is taken away and says so in its answers; the router must stop to send to it after `drain_ms`. */
final class Case8 extends Case {
    private static final int DRAIN_MS = 2_000;

    // The longest outage of the store on the site's days is 4.5 s.
    private static final int OUTAGE_MS = 4_500;

    // A worker that is taken away is gone 2.5 s after the notice.
    private static final int GONE_AFTER_MS = 2_500;
    private final AtomicLong firstLeavingAnswerMs = new AtomicLong(Long.MAX_VALUE);
    private volatile boolean over;

    public static void main(String[] arguments) {
        new Case8().runAndExit("8");
    }

    private final class LedgerWorker extends Worker {
        volatile boolean leaving;

        LedgerWorker(String id) throws IOException {
            super(store, id, Site.LEDGER, 6);
        }

        @Override
        void answer(Http request, OutputStream out) throws IOException {
            Threads.sleep(20);
            super.answer(request, out);
        }

        @Override
        String extraHeaders() {
            return leaving ? "Server-Leaving: 1\r\n" : "";
        }
    }

    @Override
    boolean run() throws Exception {
        store.put("op", "config", Site.config(7, 100_000_000));
        LedgerWorker leaver = own(new LedgerWorker("i-leaver"));
        own(new LedgerWorker("i-2"));
        own(new LedgerWorker("i-3"));
        Router router = own(new Router("router-1", store.address(), folder));
        router.start();
        router.awaitReady(20_000);
        log("the router is ready");

        ConcurrentHashMap<String, Long> sentMs = new ConcurrentHashMap<>();
        List<Client.Answer> answers = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) clients.add(Threads.start("client", () -> sendOrders(router, sentMs, answers)));
        Threads.sleep(4_000);
        if (trouble) store.silent = true;
        log(trouble ? "the store is down" : "the store stays up");
        Threads.sleep(300);
        leaver.leaving = true;
        leaver.state = "draining";
        if (!store.silent) leaver.writeEntry();
        log("a worker begins to leave");
        Threads.sleep(GONE_AFTER_MS);
        leaver.deregister();
        leaver.close();
        log("the worker is gone");
        Threads.sleep(OUTAGE_MS - 300 - GONE_AFTER_MS);
        long outageEndsMs = Clock.ms();
        store.silent = false;
        store.delete("servers", leaver.id);
        log("the store is up");
        Threads.sleep(4_000);
        over = true;
        for (Thread client : clients) client.join(5_000);

        if (firstLeavingAnswerMs.get() == Long.MAX_VALUE) throw new IOException("no answer with Server-Leaving was passed on");
        long boundMs = firstLeavingAnswerMs.get() + DRAIN_MS;
        log("first answer with Server-Leaving at the client: " + firstLeavingAnswerMs.get() + " ms");
        int late = 0;
        for (Worker.Run run : leaver.runs) {
            Long sent = sentMs.get(run.requestId());
            if (sent == null || sent <= boundMs) continue;
            late++;
            if (late <= 10) log("request " + run.requestId() + " sent at " + sent + " ms reached the leaving worker at " + run.atMs() + " ms");
        }
        long lost = answers.stream().filter(answer -> !answer.isSuccess() && leaver.runs.stream().anyMatch(run -> run.requestId().equals(answer.requestId()))).count();
        log("orders that the leaving worker had begun to run and that got no success: " + lost);
        log("requests: " + answers.size() + ", served: " + answers.stream().filter(Client.Answer::isSuccess).count());
        log("requests sent later than drain_ms after that answer that reached the leaving worker: " + late + " (none allowed)");
        log("the store was up again at " + outageEndsMs + " ms");
        return late == 0;
    }

    private void sendOrders(Router router, ConcurrentHashMap<String, Long> sentMs, List<Client.Answer> answers) {
        while (!over) {
            try (Client client = new Client(router)) {
                while (!over && !client.wasClosed) {
                    String id = Client.nextId();
                    sentMs.put(id, Clock.ms());
                    Client.Answer answer = client.send(id, "POST", "/order/1", Site.AUTH, new byte[600], 600);
                    answers.add(answer);
                    if (answer.isSuccess() && client.lastHeaders.containsKey("Server-Leaving")) {
                        firstLeavingAnswerMs.accumulateAndGet(answer.endedMs(), Math::min);
                    }
                    Threads.sleep(30);
                }
            } catch (IOException noConnection) {
                Threads.sleep(500);
            }
        }
    }
}
