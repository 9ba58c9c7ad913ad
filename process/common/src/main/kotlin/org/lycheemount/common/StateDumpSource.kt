package org.lycheemount.common

import kotlinx.serialization.json.JsonObject

/** Component that contributes its state to the state dump of the process. Field names carry units; secrets are omitted. */
interface StateDumpSource {
    /** Key of this component in the state dump. */
    val name: String

    /** Returns the current state. Thread-safe. */
    fun dumpState(): JsonObject
}
