package org.lycheemount.testing

import org.lycheemount.common.EventLog
import java.util.concurrent.CopyOnWriteArrayList

/** Event log that records events in memory. */
class FakeEventLog : EventLog {
    /** Name and fields of each logged event. */
    val events: MutableList<Pair<String, Map<String, Any?>>> = CopyOnWriteArrayList()

    override fun info(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        events += event to fields.toMap()
    }

    override fun warn(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        events += event to fields.toMap()
    }
}
