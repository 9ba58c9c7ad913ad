package org.lycheemount.common

/** Writes one line of key=value pairs for each event. Callers never pass secrets. */
interface EventLog {
    /** Records an ordinary [event] such as `grant_acquired`. */
    fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    )

    /** Records an [event] that an operator may have to act on. */
    fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    )
}
