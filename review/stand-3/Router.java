import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A process of the project's gateway, started with the command, the variables and the template of the deploy file. Its addresses are
 * loopback addresses.
 */
final class Router implements AutoCloseable {
    private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final Path repository;
    private final Path workDirectory;
    private final Record record;
    private final String name;
    private final Map<String, String> fields = new LinkedHashMap<>();
    private int starts;
    Process process;

    /** Bounds of the small deployment in `sites/`, as its page gives them. */
    Router(Path repository, Path workDirectory, Record record, String name, String ip, String zone, String storeAddress) throws IOException {
        this.repository = repository;
        this.workDirectory = workDirectory;
        this.record = record;
        this.name = name;
        fields.put("node_name", name);
        fields.put("ip", ip);
        fields.put("region", "r");
        fields.put("zone", zone);
        fields.put("listen.front", ip + ":" + freePort(ip));
        fields.put("listen.readiness", ip + ":" + freePort(ip));
        fields.put("internal_ports.0", "" + freePort(ip));
        fields.put("provider.address", storeAddress);
        fields.put("bootstrap", "true");
        fields.put("bounds.grace_s", "8");
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.budget_slack", "54");
        fields.put("bounds.budget_window_s", "10");
        fields.put("bounds.cold_overage", "");
        fields.put("bounds.cold_slack", "");
        fields.put("metrics", "" + freePort(ip));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    String front() {
        return fields.get("listen.front");
    }

    private String fill(String text) {
        for (Map.Entry<String, String> field : fields.entrySet()) text = text.replace("{{" + field.getKey() + "}}", field.getValue());
        return text;
    }

    /** Starts the process; a later start is a restart. */
    void start() throws IOException {
        String template = Files.readString(repository.resolve("deploy/settings.json.template"));
        // The deploy file has a fixed port for metrics; processes that share a machine need one each.
        String settings = fill(template.replace("{{ip}}:9464", "{{ip}}:{{metrics}}"));
        Path file = workDirectory.resolve(name + ".json");
        Files.writeString(file, settings);
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        String run = deploy.lines().filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> command = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(repository.toFile()).redirectErrorStream(true);
        builder.environment().put("LYCHEEMOUNT_NODE_FILE", file.toString());
        builder.environment().put("LYCHEEMOUNT_COLD_OVERAGE", "");
        builder.environment().put("LYCHEEMOUNT_COLD_SLACK", "");
        builder.redirectOutput(workDirectory.resolve(name + "-" + starts++ + ".log").toFile());
        process = builder.start();
        STARTED.add(process);
        record.line("router " + name + " started, process " + process.pid() + ", front " + front());
        fields.put("bootstrap", "false");
    }

    /** What the process has written since its last start. */
    String log() throws IOException {
        return Files.readString(workDirectory.resolve(name + "-" + (starts - 1) + ".log"));
    }

    boolean isReady() {
        try {
            HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + fields.get("listen.readiness") + "/-/readiness"))
                .timeout(Duration.ofSeconds(1)).build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException notYet) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    boolean awaitReady(long timeoutMs) {
        long endMs = Time.nowMs() + timeoutMs;
        while (Time.nowMs() < endMs) {
            if (isReady()) return true;
            if (!process.isAlive()) return false;
            Time.sleep(200);
        }
        return false;
    }

    /** Kills the process. */
    void kill() {
        record.line("SIGKILL to router " + name);
        process.destroyForcibly();
    }

    @Override
    public void close() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
