package org.lycheemount.app.ctl

/** Exit codes of `lycheectl`. */
enum class ExitCode(
    val value: Int,
) {
    /** The operation took effect, or it had already taken effect. */
    OK(0),

    /** The request was refused: it is invalid, not allowed, or refers to something that does not exist. */
    REFUSED(1),

    /** The command line is invalid. */
    USAGE(2),

    /** A concurrent change by another operator won; nothing was changed. */
    CONFLICT(3),

    /** The router or its table could not be reached, or the outcome is unknown. */
    UNAVAILABLE(4),
}
