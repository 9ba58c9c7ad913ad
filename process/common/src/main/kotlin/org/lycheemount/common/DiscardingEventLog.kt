package org.lycheemount.common

/** Event log that discards all events, for measurements, tests and warm-up requests. */
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
