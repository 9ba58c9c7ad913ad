import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client names a part of its prompt that is larger than the memory of any worker. It sends the request once, and once more to another
 * machine after the connection has been closed. The platform starts processes that have ended again. No process of the system may end.
 */
final class Part extends Case {
    private static final int LARGE_TOKENS = 2_000_000_000;
    private static final int USUAL_TOKENS = 4_870;
    private static final int ROUNDS = 3;
    private static final long RESTART_MS = 500;

    private final AtomicInteger ordinarySent = new AtomicInteger();
    private final AtomicInteger ordinaryServed = new AtomicInteger();

    public static void main(String[] arguments) {
        new Part().run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", configuration(3,
            List.of(route("assessment", "streaming", "model", 15_000, 1_000, 2, true), route("lookup", "idempotent", "ledger", 600, 121, 2, false)),
            List.of(service("model", true), service("ledger", false)), List.of(tenant("shop", KEY, null))));
        for (int i = 0; i < 3; i++) workers.add(new Worker("m-" + i, "model", "z" + i, 64, store, record));
        for (int i = 0; i < 2; i++) workers.add(new Worker("l-" + i, "ledger", "z" + i, 6, store, record));
        for (int i = 0; i < 3; i++) addRouter("frontend-z" + i + "-1", "127.0.0." + (11 + i), "z" + i);
        awaitReady();
        int[] ends = new int[routers.size()];
        int partTokens = hasTrouble ? LARGE_TOKENS : USUAL_TOKENS;
        ExecutorService ordinary = Executors.newCachedThreadPool();
        for (int round = 1; round <= ROUNDS; round++) {
            record.say("round " + round + ": a client sends a request with a part of " + partTokens + " tokens");
            List<Integer> ended = new ArrayList<>();
            for (int machine = 0; machine < 2; machine++) {
                Router router = routers.get(machine);
                for (int i = 0; i < 3; i++) sendOrdinary(ordinary, router);
                Client client = new Client(router.front(), "POST", "/assessment/a", KEY, 15_000, new byte[100]).prompt(partTokens + 100, 50, "5c1e07a2", partTokens);
                Client.Answer answer = client.send(record);
                Time.sleep(500);
                if (router.process.isAlive()) {
                    record.say("  machine " + machine + " answers " + answer.status + " " + answer.body.lines().findFirst().orElse(""));
                    // A client repeats its request only after a closed connection here.
                    continue;
                }
                record.say("  machine " + machine + ": " + answer.failure + "; its process has ended with status " + router.process.exitValue() + ": "
                    + router.log().lines().filter(line -> line.contains("OutOfMemory")).findFirst().orElse(""));
                ends[machine]++;
                ended.add(machine);
            }
            Time.sleep(RESTART_MS);
            for (int machine : ended) routers.get(machine).start();
            awaitReady();
            // Out of the time in which the start would excuse an end.
            Time.sleep(1_500);
        }
        ordinary.shutdown();
        Time.sleep(700);
        int machines = 0;
        for (int count : ends) if (count >= 3) machines++;
        record.say("ordinary requests: " + ordinarySent + ", served: " + ordinaryServed);
        record.say("processes that ended by themselves, by machine: " + java.util.Arrays.toString(ends) + "; machines with three ends: " + machines
            + ", a tenth of the machines is two at least");
        return machines < 2;
    }

    private void sendOrdinary(ExecutorService ordinary, Router router) {
        ordinarySent.incrementAndGet();
        ordinary.execute(() -> {
            if (new Client(router.front(), "GET", "/lookup/a", KEY, 600, new byte[0]).send(record).status == 200) ordinaryServed.incrementAndGet();
        });
    }
}
