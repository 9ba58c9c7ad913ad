import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The store is away for a moment and comes back from a copy some seconds old, while one machine is partitioned from it. The operator then
 * takes a key away. The machine must not run requests with that key once it has been in touch again.
 */
final class Stale extends Case {
    private static final String TAKEN_KEY = "k7zq0vlm3xa9c1td5uwe";
    private static final long CUT_AT_MS = 3_500;
    private static final long CUT_MS = 5_500;
    private static final long AWAY_AT_MS = 4_000;
    private static final long AWAY_MS = 1_000;
    private static final long REVOKE_AT_MS = 5_200;
    private static final long LENGTH_MS = 32_000;
    /** Bounds of the small deployment. */
    private static final long CONTACT_MS = 3_000;
    private static final long CONFIG_APPLY_MS = 2_000;
    private static final long MAX_SKEW_MS = 5_000;

    private record Probe(int machine, long atMs, Client.Answer answer) { }

    private final List<Probe> probes = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        new Stale().run();
    }

    private static String config(long version, boolean hasKey) {
        return configuration(version, List.of(route("chat", "streaming", "model", 15_000, 1_000, 2, true), route("lookup", "idempotent", "ledger", 600, 121, 2, false)),
            List.of(service("model", true), service("ledger", false)),
            hasKey ? List.of(tenant("shop", KEY, 5_000_000L), tenant("left", TAKEN_KEY, null)) : List.of(tenant("shop", KEY, 5_000_000L)));
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", config(3, true));
        for (int i = 0; i < 3; i++) workers.add(new Worker("m-" + i, "model", "z" + i, 64, store, record));
        for (int i = 0; i < 2; i++) workers.add(new Worker("l-" + i, "ledger", "z" + i, 6, store, record));
        for (int i = 0; i < 3; i++) addRouter("frontend-z" + i + "-1", "127.0.0." + (11 + i), "z" + i);
        awaitReady();
        Time.sleep(3_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        Store.Copy copy = store.copy();
        long startMs = Time.nowMs();
        record.say("the copy is made at version " + store.version());
        String cutMachine = "frontend-z2-1";
        int step = 0;
        long revokedAtMs = Long.MAX_VALUE;
        long healedAtMs = Long.MAX_VALUE;
        int sent = 0;
        while (Time.nowMs() - startMs < LENGTH_MS) {
            long elapsedMs = Time.nowMs() - startMs;
            if (step == 0 && elapsedMs >= CUT_AT_MS) {
                store.cut(cutMachine);
                record.say(cutMachine + " is partitioned from the store at version " + store.version());
                step++;
            }
            if (step == 1 && elapsedMs >= AWAY_AT_MS) {
                if (hasTrouble) store.leave();
                record.say(hasTrouble ? "the store is away" : "the store stays");
                step++;
            }
            if (step == 2 && elapsedMs >= AWAY_AT_MS + AWAY_MS) {
                if (hasTrouble) {
                    store.comeBackFrom(copy);
                    store.put("op", "config", config(3, true));
                    for (Worker worker : workers) worker.register();
                    record.say("the store is back from a copy " + elapsedMs + " ms old, Store-Era " + store.era() + ", at version " + store.version());
                }
                step++;
            }
            if (step == 3 && elapsedMs >= REVOKE_AT_MS) {
                long version = store.put("op", "config", config(8, false));
                revokedAtMs = Time.nowMs();
                record.say("configuration 8 takes the key away, acknowledged at version " + version);
                step++;
            }
            if (step == 4 && elapsedMs >= CUT_AT_MS + CUT_MS) {
                store.heal(cutMachine);
                healedAtMs = Time.nowMs();
                record.say(cutMachine + " reaches the store again, at version " + store.version());
                step++;
            }
            // Usual traffic, and one request in four with the key that is taken away.
            int machine = sent % 3;
            boolean isProbe = sent / 3 % 4 == 3;
            sent++;
            Router router = routers.get(machine);
            clients.execute(() -> {
                if (!isProbe) {
                    new Client(router.front(), "POST", "/chat/a", KEY, 15_000, new byte[100]).prompt(1_000, 50, "5c1e07a2", 400).send(record);
                } else {
                    long atMs = Time.nowMs();
                    probes.add(new Probe(machine, atMs, new Client(router.front(), "GET", "/lookup/a", TAKEN_KEY, 600, new byte[0]).send(record)));
                }
            });
            // There is little traffic at first.
            Time.sleep(elapsedMs < AWAY_AT_MS + AWAY_MS ? 400 : 50);
        }
        Time.sleep(1_500);
        clients.shutdownNow();
        // A machine in touch: contact_ms after its cut and the store's trouble; then config_apply_ms, stretched by max_skew_ms at most.
        return judge(Math.max(healedAtMs + CONTACT_MS, revokedAtMs) + CONFIG_APPLY_MS + MAX_SKEW_MS);
    }

    private boolean judge(long fromMs) {
        Map<Integer, Map<Integer, Integer>> byMachine = new TreeMap<>();
        int late = 0;
        synchronized (probes) {
            for (Probe probe : probes) {
                if (probe.atMs < fromMs) continue;
                byMachine.computeIfAbsent(probe.machine, machine -> new TreeMap<>()).merge(probe.answer.status, 1, Integer::sum);
                if (probe.answer.status == 200) late++;
            }
        }
        record.say("requests with the key that was taken away, at machines in touch, by machine and status: " + byMachine);
        record.say("run with that key after the bound: " + late + ", allowed: 0");
        return late == 0;
    }
}
