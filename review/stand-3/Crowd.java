import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that the operator does not control open connections, each with one request: a head within max_header_bytes that consists of very
 * short fields, and a chunked body that stops short of its end and stays open. No process of the system may end, and ordinary callers must
 * still get answers.
 */
final class Crowd extends Case {
    /** Fewer than half of the 4,100 descriptors of a machine. */
    private static final int CALLERS = 1_200;
    private static final int FIELD_BYTES = 15_900;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long PACE_MS = 10;
    private static final long LENGTH_MS = 30_000;

    private final AtomicInteger ordinarySent = new AtomicInteger();
    private final AtomicInteger ordinaryServed = new AtomicInteger();

    public static void main(String[] arguments) {
        new Crowd().run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op", "config", configuration(3,
            List.of(route("order", "non_idempotent", "ledger", 15_000, 1_000, 1, false), route("lookup", "idempotent", "ledger", 600, 121, 2, false)),
            List.of(service("ledger", false)), List.of(tenant("shop", KEY, null))));
        for (int i = 0; i < 2; i++) workers.add(new Worker("l-" + i, "ledger", "z" + i, 6, store, record));
        Router router = addRouter("frontend-z0-1", "127.0.0.11", "z0");
        awaitReady();
        ExecutorService ordinary = Executors.newCachedThreadPool();
        List<Socket> callers = new ArrayList<>();
        int answered = 0;
        long startMs = Time.nowMs();
        long nextOrdinaryMs = startMs;
        long endMs = startMs + LENGTH_MS;
        while (Time.nowMs() < endMs && router.process.isAlive()) {
            if (hasTrouble && callers.size() < CALLERS) callers.add(stopShort(router.front()));
            if (Time.nowMs() >= nextOrdinaryMs) {
                nextOrdinaryMs += 250;
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
        for (Socket caller : callers) {
            try {
                if (caller.getInputStream().available() > 0) answered++;
            } catch (IOException closed) {
                // It got no answer.
            }
        }
        record.say("callers that stopped short: " + callers.size() + ", answered: " + answered + "; ordinary requests: " + ordinarySent + ", served: "
            + ordinaryServed);
        record.say("the process " + (isAlive ? "runs" : "has ended with status " + router.process.exitValue()));
        if (!isAlive) {
            router.log().lines().filter(line -> line.contains("OutOfMemory") || line.contains("Terminating")).limit(3).forEach(line -> record.say("it wrote: " + line));
        }
        for (Socket caller : callers) caller.close();
        ordinary.shutdownNow();
        return isAlive;
    }

    private Socket stopShort(String front) {
        Socket socket = new Socket();
        StringBuilder fields = new StringBuilder("Host: " + Client.HOST + "\r\nX-Request-Id: " + UUID.randomUUID().toString().replace("-", "").substring(0, 16)
            + "\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer " + KEY + "\r\nTransfer-Encoding: chunked\r\n");
        while (fields.length() < FIELD_BYTES) fields.append("a:\r\n");
        if (fields.length() > MAX_HEADER_BYTES) throw new IllegalStateException("the head is over the limit");
        try {
            socket.connect(new InetSocketAddress(front.split(":")[0], Integer.parseInt(front.split(":")[1])), 1_000);
            socket.getOutputStream().write(("POST /order/a HTTP/1.1\r\n" + fields + "\r\n4\r\nbody\r\n").getBytes(StandardCharsets.ISO_8859_1));
            record.line("sent a head of " + fields.length() + " bytes of fields and a part of a body");
        } catch (IOException failure) {
            record.line("not sent: " + failure);
        }
        return socket;
    }
}
