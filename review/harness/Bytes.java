import java.util.Arrays;

/** Helpers for byte arrays. */
final class Bytes {
    private Bytes() {}

    static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
