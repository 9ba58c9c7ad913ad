/** Steady time in milliseconds since the start of the test. */
final class Clock {
    private static final long STARTED_AT_NS = System.nanoTime();

    private Clock() {}

    static long ms() {
        return (System.nanoTime() - STARTED_AT_NS) / 1_000_000;
    }
}
