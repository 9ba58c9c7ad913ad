package org.lycheemount.app.ctl

/** Exit codes of `lycheectl`. */
enum class ExitCode(
    val value: Int,
) {
    /** The operation took effect, or its repetition had nothing to do. */
    OK(0),

    /** The request was refused: invalid, not allowed, or about something that does not exist. */
    REFUSED(1),

    /** The command line could not be understood. */
    USAGE(2),

    /** Another operator was faster; nothing was changed. */
    CONFLICT(3),

    /** The router or its table could not be reached, or the outcome is unknown. */
    UNAVAILABLE(4),
}
