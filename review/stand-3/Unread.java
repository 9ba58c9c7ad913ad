import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers in trouble send bodies without end, and callers leave their answers unread. No process of the system may end, and ordinary
 * callers must still get answers.
 */
final class Unread extends Case {
    private static final int CALLERS = 110;
    private static final long PACE_MS = 50;
    private static final long LENGTH_MS = 14_000;

    private final AtomicInteger ordinaryServed = new AtomicInteger();
    private final AtomicInteger ordinarySent = new AtomicInteger();

    public static void main(String[] arguments) {
        new Unread().run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", configuration(3,
            List.of(route("assessment", "streaming", "model", 15_000, 1_000, 2, true), route("lookup", "idempotent", "ledger", 600, 121, 2, false)),
            List.of(service("model", true), service("ledger", false)), List.of(tenant("shop", KEY, null))));
        for (int i = 0; i < 2; i++) workers.add(new EndlessWorker("m-" + i, "z" + i));
        for (int i = 0; i < 2; i++) workers.add(new Worker("l-" + i, "ledger", "z" + i, 6, store, record));
        Router router = addRouter("frontend-z0-1", "127.0.0.11", "z0");
        awaitReady();
        ExecutorService ordinary = Executors.newCachedThreadPool();
        List<Socket> callers = new ArrayList<>();
        long startMs = Time.nowMs();
        long nextOrdinaryMs = startMs;
        while (Time.nowMs() - startMs < LENGTH_MS && router.process.isAlive()) {
            if (callers.size() < CALLERS) callers.add(callWithoutReading(router.front()));
            if (Time.nowMs() >= nextOrdinaryMs) {
                nextOrdinaryMs += 500;
                ordinarySent.incrementAndGet();
                ordinary.execute(() -> {
                    Client.Answer answer = new Client(router.front(), "GET", "/lookup/a", KEY, 600, new byte[0]).send(record);
                    if (answer.status == 200) ordinaryServed.incrementAndGet();
                });
            }
            Time.sleep(PACE_MS);
        }
        Time.sleep(700);
        boolean isAlive = router.process.isAlive();
        record.say("callers that read nothing: " + callers.size() + "; ordinary requests: " + ordinarySent + ", served: " + ordinaryServed);
        record.say("the process " + (isAlive ? "runs" : "has ended with status " + router.process.exitValue()));
        if (!isAlive) {
            router.log().lines().filter(line -> line.contains("OutOfMemory") || line.contains("Terminating")).limit(3).forEach(line -> record.say("it wrote: " + line));
        }
        for (Socket caller : callers) caller.close();
        ordinary.shutdownNow();
        return isAlive;
    }

    private Socket callWithoutReading(String front) {
        Socket socket = new Socket();
        try {
            socket.setReceiveBufferSize(16_384);
            socket.connect(new InetSocketAddress(front.split(":")[0], Integer.parseInt(front.split(":")[1])), 1_000);
            String id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
            String head = "POST /assessment/a HTTP/1.1\r\nHost: " + Client.HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer "
                + KEY + "\r\nX-Model: m\r\nX-Token-Usage: 6000,380\r\nX-Prompt-Prefix: 5c1e07a2:400," + id.substring(0, 8)
                + ":5600\r\nContent-Length: 4\r\n\r\nbody";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            record.line("sent request=" + id + " to=" + front + " by a caller that reads nothing");
        } catch (IOException failure) {
            record.line("not sent: " + failure);
        }
        return socket;
    }

    /** A worker of the model: in trouble, its answers are errors whose bodies have no end. */
    private final class EndlessWorker extends Worker {
        EndlessWorker(String id, String zone) throws IOException {
            super(id, "model", zone, 64, Unread.this.store, Unread.this.record);
        }

        @Override
        void run(Http.Head head, OutputStream out) throws IOException {
            if (!hasTrouble) {
                super.run(head, out);
                return;
            }
            Time.sleep(firstMs);
            byte[] bytes = new byte[16_384];
            Arrays.fill(bytes, (byte) 'x');
            write(out, headOf(head, 500, "text/plain") + "Connection: close\r\n\r\n");
            long sent = 0;
            try {
                while (!isClosed) {
                    out.write(bytes);
                    sent += bytes.length;
                }
            } finally {
                Unread.this.record.line("worker " + id + " sent " + sent + " bytes to request=" + head.get("x-request-id") + " until its caller closed");
            }
        }
    }
}
