import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The store is away for a moment and comes back from a copy some seconds old. A tenant must not get more than its prepay.
 */
final class Drill extends Case {
    private static final long PREPAY = 120_000;
    private static final int TOKENS_IN = 1_000;
    private static final int TOKENS_OUT = 50;
    private static final long COPY_AGE_MS = 6_000;
    private static final long AWAY_MS = 1_000;
    private static final long PACE_MS = 60;
    private static final long LENGTH_MS = 50_000;

    private final List<Client.Answer> answers = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        new Drill().run();
    }

    @Override
    boolean play() throws Exception {
        String config = configuration(3, List.of(route("chat", "streaming", "model", 15_000, 1_000, 2, true)), List.of(service("model", true)),
            List.of(tenant("shop", KEY, PREPAY)));
        store.put("op", "config", config);
        for (int i = 0; i < 3; i++) workers.add(new Worker("i-" + i, "model", "z" + i, 64, store, record));
        for (int i = 0; i < 3; i++) addRouter("frontend-z" + i + "-1", "127.0.0." + (11 + i), "z" + i);
        awaitReady();
        Time.sleep(3_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        Store.Copy copy = store.copy();
        long copiedAtMs = Time.nowMs();
        record.say("the copy is made; budget row: " + store.get("lycheemount", "", "budget/shop"));
        // Planned work: a machine is added.
        addRouter("frontend-z0-2", "127.0.0.14", "z0");
        awaitReady();
        long startMs = Time.nowMs();
        int sent = 0;
        boolean isAway = false;
        boolean isBack = !hasTrouble;
        while (Time.nowMs() - startMs < LENGTH_MS && !isOver()) {
            long copyAgeMs = Time.nowMs() - copiedAtMs;
            if (!isBack && !isAway && copyAgeMs >= COPY_AGE_MS) {
                record.say("the store is away; budget row: " + store.get("lycheemount", "", "budget/shop"));
                store.leave();
                isAway = true;
            }
            if (!isBack && isAway && copyAgeMs >= COPY_AGE_MS + AWAY_MS) {
                store.comeBackFrom(copy);
                store.put("op", "config", config);
                for (Worker worker : workers) worker.register();
                record.say("the store is back from a copy " + copyAgeMs + " ms old, Store-Era " + store.era());
                isBack = true;
            }
            // The platform picks a machine by a hash of the client, unevenly: at first all clients of the tenant reach the added one.
            Router router = copyAgeMs < COPY_AGE_MS + AWAY_MS ? routers.get(3) : routers.get(sent % 4);
            sent++;
            clients.execute(() -> answers.add(new Client(router.front(), "POST", "/chat/a", KEY, 15_000, new byte[100])
                .prompt(TOKENS_IN, TOKENS_OUT, "5c1e07a2", 400).send(record)));
            Time.sleep(PACE_MS);
        }
        Time.sleep(2_000);
        clients.shutdownNow();
        return judge();
    }

    /** Whether the last 60 answers are refusals. */
    private boolean isOver() {
        synchronized (answers) {
            int size = answers.size();
            return size >= 60 && answers.subList(size - 60, size).stream().allMatch(answer -> answer.status == 402 || answer.status == 503);
        }
    }

    private boolean judge() {
        long tokens = 0;
        int served = 0;
        Map<Integer, Integer> statuses = new java.util.TreeMap<>();
        synchronized (answers) {
            for (Client.Answer answer : answers) {
                statuses.merge(answer.status, 1, Integer::sum);
                if (answer.events == 0) continue;
                served++;
                tokens += TOKENS_IN + (long) answer.events * Worker.TOKENS_PER_EVENT;
            }
        }
        record.say("answers by status: " + statuses + "; " + served + " streams");
        record.say("budget rows at the end: " + store.list("lycheemount", "budget/"));
        record.say("prepay " + PREPAY + ", the tenant got " + tokens + " tokens");
        return tokens <= PREPAY;
    }
}
