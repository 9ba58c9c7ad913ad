import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * In a release, workers of a new software version are added. The store is away for a moment and comes back from a copy some seconds old.
 * Then a router is killed, and its clients take their streams up at another one. No more than two streams may hold events of two versions.
 */
final class Versions extends Case {
    private static final long COPY_AGE_MS = 8_000;
    private static final long AWAY_MS = 1_000;
    private static final long KILL_AFTER_MS = 400;
    private static final long FIRST_STREAM_MS = 3_000;
    private static final long PACE_MS = 250;
    private static final int EVENTS = 110;

    /** One stream, over the tries of its client. */
    private static final class Stream {
        final List<String> tries = Collections.synchronizedList(new ArrayList<>());
        /** Versions of the workers of its events, in order, without repetition. */
        final List<String> versions = Collections.synchronizedList(new ArrayList<>());
        int lastEvent;
        boolean isComplete;
        boolean isTakenUp;
        int lastStatus;
    }

    private final List<Stream> streams = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, String> versionOfWorker = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new Versions().run();
    }

    private void addWorker(String id, String zone, String version) throws IOException {
        Worker worker = new Worker(id, "model", zone, 64, store, record);
        worker.version = version;
        worker.gapMs = 100;
        worker.register();
        workers.add(worker);
        versionOfWorker.put(id, version);
    }

    @Override
    boolean play() throws Exception {
        String config = configuration(3, List.of(route("chat", "streaming", "model", 15_000, 1_000, 2, true)), List.of(service("model", true)),
            List.of(tenant("shop", KEY, null)));
        store.put("op", "config", config);
        for (int i = 0; i < 2; i++) addWorker("a-" + i, "z" + i, "v1");
        for (int i = 0; i < 2; i++) addRouter("frontend-z" + i + "-1", "127.0.0." + (11 + i), "z" + i);
        awaitReady();
        Time.sleep(2_000);
        Store.Copy copy = store.copy();
        long copiedAtMs = Time.nowMs();
        record.say("the copy is made; versions: " + store.list("lycheemount-origins", "origin/version"));
        // Planned work: a release adds workers of the next version.
        for (int i = 0; i < 2; i++) addWorker("b-" + i, "z" + i, "v2");
        ExecutorService clients = Executors.newCachedThreadPool();
        boolean isAway = false;
        boolean isBack = false;
        boolean isKilled = false;
        long nextStreamMs = copiedAtMs + FIRST_STREAM_MS;
        while (Time.nowMs() - copiedAtMs < COPY_AGE_MS + AWAY_MS + 22_000) {
            long ageMs = Time.nowMs() - copiedAtMs;
            if (hasTrouble && !isAway && ageMs >= COPY_AGE_MS) {
                record.say("the store is away; versions: " + store.list("lycheemount-origins", "origin/version"));
                store.leave();
                isAway = true;
            }
            if (hasTrouble && !isBack && ageMs >= COPY_AGE_MS + AWAY_MS) {
                store.comeBackFrom(copy);
                store.put("op", "config", config);
                for (Worker worker : workers) worker.register();
                record.say("the store is back from a copy " + ageMs + " ms old, Store-Era " + store.era());
                isBack = true;
            }
            if (!isKilled && ageMs >= COPY_AGE_MS + AWAY_MS + KILL_AFTER_MS) {
                routers.get(0).kill();
                isKilled = true;
            }
            if (!isKilled && Time.nowMs() >= nextStreamMs) {
                nextStreamMs += PACE_MS;
                Stream stream = new Stream();
                streams.add(stream);
                clients.execute(() -> follow(stream));
            }
            Time.sleep(20);
        }
        clients.shutdownNow();
        return judge();
    }

    /** A client that takes its stream up once, at another router. */
    private void follow(Stream stream) {
        long deadlineAtMs = Time.nowMs() + 15_000;
        tryOnce(stream, routers.get(0).front(), deadlineAtMs);
        if (stream.isComplete || stream.lastEvent == 0) return;
        stream.isTakenUp = true;
        tryOnce(stream, routers.get(1).front(), deadlineAtMs);
    }

    private void tryOnce(Stream stream, String front, long deadlineAtMs) {
        String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        stream.tries.add(id);
        StringBuilder head = new StringBuilder("POST /chat/a HTTP/1.1\r\nHost: " + Client.HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
            + (deadlineAtMs - Time.nowMs()) + "\r\nAuthorization: Bearer " + KEY + "\r\nX-Model: m\r\nX-Token-Usage: 1000," + EVENTS * Worker.TOKENS_PER_EVENT
            + "\r\nX-Prompt-Prefix: 5c1e07a2:400," + stream.tries.get(0).substring(0, 8) + ":600\r\nContent-Length: 0\r\n");
        if (stream.lastEvent > 0) head.append("Last-Event-Id: ").append(stream.lastEvent).append("\r\nResumes: ").append(stream.tries.get(0)).append("\r\n");
        record.line("sent request=" + id + " to=" + front + " after=" + stream.lastEvent + " resumes=" + (stream.lastEvent > 0 ? stream.tries.get(0) : "-"));
        String end = "complete";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(front.split(":")[0], Integer.parseInt(front.split(":")[1])), 1_000);
            socket.setSoTimeout((int) Math.max(1, deadlineAtMs - Time.nowMs()));
            socket.getOutputStream().write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head answer = Http.readHead(in);
            if (answer == null) throw new IOException("closed without an answer");
            stream.lastStatus = answer.status();
            if (answer.status() != 200) {
                end = new String(Http.readBody(in, answer), StandardCharsets.UTF_8);
            } else {
                StringBuilder text = new StringBuilder();
                byte[] chunk;
                while ((chunk = Http.readChunk(in)).length > 0) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                    take(stream, text);
                }
                stream.isComplete = true;
            }
        } catch (IOException failure) {
            end = failure.toString();
        }
        record.line("answer request=" + id + " status=" + stream.lastStatus + " last_event=" + stream.lastEvent + " versions=" + stream.versions + " end=" + end);
    }

    private void take(Stream stream, StringBuilder text) {
        int end;
        while ((end = text.indexOf("\n\n")) >= 0) {
            String event = text.substring(0, end);
            text.delete(0, end + 2);
            for (String line : event.split("\n")) {
                if (line.startsWith("id: ")) stream.lastEvent = Integer.parseInt(line.substring(4).trim());
                if (!line.startsWith("data: ")) continue;
                String version = versionOfWorker.get(line.substring(6).split(" ")[0]);
                if (stream.versions.isEmpty() || !stream.versions.get(stream.versions.size() - 1).equals(version)) stream.versions.add(version);
            }
        }
    }

    private boolean judge() {
        int joined = 0;
        int takenUp = 0;
        int goneOn = 0;
        Map<String, Integer> began = new TreeMap<>();
        synchronized (streams) {
            for (Stream stream : streams) {
                if (!stream.versions.isEmpty()) began.merge(stream.versions.get(0), 1, Integer::sum);
                if (stream.isTakenUp) takenUp++;
                if (stream.isTakenUp && stream.lastStatus == 200) goneOn++;
                if (new TreeSet<>(stream.versions).size() > 1) joined++;
            }
        }
        record.say("streams begun: " + began + "; taken up: " + takenUp + ", went on: " + goneOn);
        record.say("versions in the store: " + store.list("lycheemount-origins", "origin/version"));
        record.say("streams with events of two versions: " + joined + ", allowed: 2");
        return joined <= 2;
    }
}
