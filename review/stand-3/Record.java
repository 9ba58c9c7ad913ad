import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run of a case: what was sent, answered and run, with the milliseconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAtMs = Time.nowMs();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long elapsedMs() {
        return Time.nowMs() - startedAtMs;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", elapsedMs(), text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
