package org.lycheemount.common

import kotlinx.serialization.json.JsonObject

/** A part of the process that can describe its whole state. Field names carry units; secrets are left out. */
interface StateDumpSource {
    /** Key of this part in the process's dump. */
    val name: String

    /** Returns the current state; safe to call from any thread. */
    fun dumpState(): JsonObject
}
