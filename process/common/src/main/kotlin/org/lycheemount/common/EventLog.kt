package org.lycheemount.common

/** Writes each event as one line of key=value pairs. Callers must not pass secrets. */
interface EventLog {
    /** Logs an ordinary [event] such as `grant_acquired`. */
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    )

    /** Logs an [event] that an operator may have to act on. */
    fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    )
}
