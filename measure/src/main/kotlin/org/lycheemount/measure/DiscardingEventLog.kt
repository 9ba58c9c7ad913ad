package org.lycheemount.measure

import org.lycheemount.common.EventLog

/** Event log that writes nothing, so that logging is no part of a measured cost. */
internal object DiscardingEventLog : EventLog {
    override fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = Unit

    override fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) = Unit
}
