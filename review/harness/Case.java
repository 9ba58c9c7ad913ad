import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.stream.Stream;

/** One case: starts routers and stand-ins, writes `record.txt`, and exits with 0 if the rule held, 1 if not, 2 if it couldn't run. */
abstract class Case {
    /** False with TROUBLE=0: the same without the disruption. */
    final boolean trouble = !"0".equals(System.getProperty("trouble"));
    Store store;
    Path folder;
    private final Deque<AutoCloseable> owned = new ArrayDeque<>();
    private final List<String> record = new ArrayList<>();

    /** Plays the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    /** Closes [resource] when the case ends. */
    final synchronized <T extends AutoCloseable> T own(T resource) {
        owned.push(resource);
        return resource;
    }

    final void log(String line) {
        String text = Clock.ms() + " ms: " + line;
        synchronized (record) {
            record.add(text);
        }
        System.out.println(text);
    }

    final void runAndExit(String number) {
        int code = 2;
        try {
            folder = Files.createTempDirectory("review-" + number + "-");
            store = own(new Store());
            log("disruption: " + trouble);
            Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
            // A run takes 120 s at most.
            Thread guard = new Thread(() -> {
                Threads.sleep(115_000);
                log("the case took too long");
                end(number, 2);
            });
            guard.setDaemon(true);
            guard.start();
            code = run() ? 0 : 1;
        } catch (Throwable failure) {
            log("the case couldn't run: " + failure);
            failure.printStackTrace();
        }
        end(number, code);
    }

    private synchronized void closeAll() {
        while (!owned.isEmpty()) {
            try {
                owned.pop().close();
            } catch (Exception failure) {
                System.err.println("not closed: " + failure);
            }
        }
    }

    private synchronized void end(String number, int code) {
        log(code == 0 ? "held" : code == 1 ? "broken" : "not run");
        closeAll();
        try (Stream<Path> files = Files.walk(folder)) {
            Files.write(Path.of("review", number, "record.txt"), record);
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException failure) {
            System.err.println("no record: " + failure);
        }
        Runtime.getRuntime().halt(code);
    }
}
