import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What the cases have in common: folders, the store, the configuration, the routers, and the exit status. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** The case could not run. */
    static final class NotRun extends RuntimeException {
        NotRun(String reason) {
            super(reason);
        }
    }

    final Path repository = Path.of(System.getProperty("repository")).toAbsolutePath().normalize();
    final Path folder = Path.of(System.getProperty("folder")).toAbsolutePath().normalize();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Router> routers = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    Path workDirectory;
    Record record;
    Store store;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play() throws Exception;

    void run() {
        int status = COULD_NOT_RUN;
        try {
            workDirectory = Files.createTempDirectory("review-3-");
            record = new Record(folder.resolve("record.txt"));
            record.say("trouble: " + hasTrouble);
            store = new Store();
            status = play() ? HELD : BROKEN;
        } catch (NotRun reason) {
            record.say("the case could not run: " + reason.getMessage());
        } catch (Exception failure) {
            failure.printStackTrace();
            if (record != null) record.say("the case could not run: " + failure);
        } finally {
            for (Router router : routers) router.close();
            for (Worker worker : workers) worker.close();
            if (record != null) record.say("exit status " + status);
            if (System.getenv("KEEP") == null) deleteWorkDirectory();
            else System.out.println("kept " + workDirectory);
        }
        System.exit(status);
    }

    private void deleteWorkDirectory() {
        if (workDirectory == null) return;
        try (Stream<Path> files = Files.walk(workDirectory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException left) {
            System.out.println("not deleted: " + workDirectory);
        }
    }

    Router addRouter(String name, String ip, String zone) throws IOException {
        Router router = new Router(repository, workDirectory, record, name, ip, zone, store.addressFor(name));
        routers.add(router);
        router.start();
        return router;
    }

    void awaitReady() throws IOException {
        for (Router router : routers) {
            if (!router.awaitReady(30_000)) throw new NotRun("a router is not ready:\n" + router.log());
        }
        record.say("routers are ready");
    }

    static String route(String name, String kind, String service, int timeoutMs, int aimMs, int attempts, boolean isResumable) {
        boolean isStream = kind.equals("streaming");
        return "{\"name\":\"" + name + "\",\"host\":\"" + Client.HOST + "\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind + "\",\"service\":\"" + service
            + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + aimMs + ",\"max_attempts\":" + attempts + ",\"priority\":1"
            + (isStream ? ",\"gap_target_ms\":200,\"sticky\":true,\"resumable\":" + isResumable : "") + "}";
    }

    static String tenant(String name, String key, Long prepay) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"]" + (prepay == null ? "" : ",\"prepay\":" + prepay) + "}";
    }

    static String service(String name, boolean isModel) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":360"
            + (isModel ? ",\"engine\":{\"stride\":" + Worker.TOKENS_PER_EVENT + "}" : "") + "}";
    }

    static String configuration(long version, List<String> routes, List<String> services, List<String> tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + String.join(",", services) + "],\"tenants\":["
            + String.join(",", tenants) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }
}
