/** Daemon threads whose work may fail with an exception, as when a connection ends. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Work work) {
        Thread thread =
            new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (Exception ended) {
                        // The peer has ended the connection, or the test is over.
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
