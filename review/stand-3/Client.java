import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

/** One attempt of a client, on a connection of its own. */
final class Client {
    static final String HOST = "shop.example";

    /** What a client has got. */
    static final class Answer {
        /** 0 without an answer. */
        int status;
        String requestId;
        String retryAfter;
        /** Events that have arrived whole, of a stream. */
        int events;
        boolean isComplete;
        String body = "";
        String failure;
        long tookMs;
    }

    final Map<String, String> headers = new LinkedHashMap<>();
    final String requestId = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    private final String front;
    private final String method;
    private final String path;
    private final byte[] body;
    private final int deadlineMs;

    Client(String front, String method, String path, String key, int deadlineMs, byte[] body) {
        this.front = front;
        this.method = method;
        this.path = path;
        this.body = body;
        this.deadlineMs = deadlineMs;
        headers.put("Host", HOST);
        headers.put("X-Request-Id", requestId);
        headers.put("X-Deadline-Ms", "" + deadlineMs);
        if (key != null) headers.put("Authorization", "Bearer " + key);
    }

    /** Names the model, the tokens and the parts of the prompt. */
    Client prompt(int tokensIn, int tokensOut, String sharedPart, int sharedTokens) {
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", tokensIn + "," + tokensOut);
        headers.put("X-Prompt-Prefix", sharedPart + ":" + sharedTokens + "," + requestId.substring(0, 8) + ":" + (tokensIn - sharedTokens));
        return this;
    }

    Answer send(Record record) {
        Answer answer = new Answer();
        answer.requestId = requestId;
        long startedAtMs = Time.nowMs();
        record.line("sent request=" + requestId + " to=" + front + " " + method + " " + path + " tokens=" + headers.get("X-Token-Usage"));
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(front.split(":")[0], Integer.parseInt(front.split(":")[1])), 1_000);
            socket.setSoTimeout(deadlineMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (!method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
            byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(start);
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            read(new BufferedInputStream(socket.getInputStream()), answer);
        } catch (IOException failure) {
            answer.failure = failure.toString();
        }
        answer.tookMs = Time.nowMs() - startedAtMs;
        record.line("answer request=" + requestId + " status=" + answer.status + " events=" + answer.events + " complete=" + answer.isComplete + " took_ms="
            + answer.tookMs + (answer.failure == null ? "" : " failure=" + answer.failure) + (answer.status >= 400 ? " body=" + answer.body : ""));
        return answer;
    }

    private static void read(InputStream in, Answer answer) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) throw new IOException("closed without an answer");
        answer.status = head.status();
        answer.retryAfter = head.get("retry-after");
        StringBuilder text = new StringBuilder();
        if (Http.isChunked(head)) {
            byte[] chunk;
            while ((chunk = Http.readChunk(in)).length > 0) {
                text.append(new String(chunk, StandardCharsets.UTF_8));
                answer.events = count(text);
            }
        } else {
            text.append(new String(Http.readBody(in, head), StandardCharsets.UTF_8));
        }
        answer.body = text.toString().trim();
        answer.isComplete = true;
    }

    private static int count(CharSequence text) {
        int events = 0;
        String all = text.toString();
        for (int at = all.indexOf("\n\n"); at >= 0; at = all.indexOf("\n\n", at + 2)) events++;
        return events;
    }
}
