package org.lycheemount.common

/** Event log that writes nothing, for measurements, tests and requests that nobody has sent. */
object DiscardingEventLog : EventLog {
    override fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = Unit

    override fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = Unit
}
