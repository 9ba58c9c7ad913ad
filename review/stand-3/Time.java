/** Monotonic time and pauses. */
final class Time {
    private Time() { }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void sleep(long ms) {
        if (ms <= 0) return;
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
