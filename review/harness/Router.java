import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router, started with the command of the deploy file and settings like those of a small deployment. */
final class Router implements AutoCloseable {
    final String name;
    final int frontPort;
    final int readinessPort;
    final Path log;
    private final Path settings;
    private Process process;

    Router(String name, String storeAddress, Path folder) throws IOException {
        this.name = name;
        frontPort = freePort();
        readinessPort = freePort();
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".json");
        // The fields of deploy/settings.json.template.
        Files.writeString(
            settings,
            Json.write(
                Json.object(
                    "routerId", name,
                    "vmId", name + "-127.0.0.1",
                    "regionId", "bc-west",
                    "zoneId", "fraser",
                    "callersAddress", "127.0.0.1:" + frontPort,
                    "readinessAddress", "127.0.0.1:" + readinessPort,
                    "metricsAddress", "127.0.0.1:" + freePort(),
                    "peersAddress", "127.0.0.1:" + freePort(),
                    "storeAddress", storeAddress,
                    "isFirstStart", true,
                    "drainGraceS", 8,
                    "retryBudget", Json.object("ratio", 0.2, "slack", 54, "windowS", 10))));
    }

    void start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).redirectInput(new File("/dev/null"));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("LYCHEEMOUNT_NODE_FILE", settings.toString());
        process = builder.start();
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills the process and waits for its end. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Whether the readiness check is answered with 200. */
    boolean isReady() {
        return readinessStatus() == 200;
    }

    /** Status of the readiness check; 0 without an answer within a second. */
    int readinessStatus() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readinessPort), 500);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
            InputStream in = socket.getInputStream();
            Http head = Http.readHead(in);
            return head == null ? 0 : head.status();
        } catch (IOException failure) {
            return 0;
        }
    }

    void awaitReady(long withinMs) throws IOException {
        long untilMs = Clock.ms() + withinMs;
        while (!isReady()) {
            if (Clock.ms() > untilMs) throw new IOException(name + " is not ready");
            Threads.sleep(100);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Lines of the log that contain [text], ten at most. */
    List<String> logLines(String text) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(text)).limit(10).toList();
    }

    @Override
    public void close() {
        if (process == null) return;
        try {
            kill();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
