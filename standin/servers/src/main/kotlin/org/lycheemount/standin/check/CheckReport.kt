package org.lycheemount.standin.check

/** Prints the results of the check and counts mismatches. */
internal class CheckReport {
    private var failures = 0

    val succeeded: Boolean get() = failures == 0

    fun show(text: String) = println(text)

    /** Prints a comparison and counts a mismatch. */
    fun compare(
        subject: String,
        expected: Any?,
        found: Any?,
    ) {
        if (expected == found) {
            println("  ok    $subject: ${found.toString().take(SHOWN_CHARS)}")
        } else {
            failures++
            println("  WRONG $subject: $found instead of $expected")
        }
    }

    private companion object {
        private const val SHOWN_CHARS = 100
    }
}
