package org.lycheemount.admin

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.lycheemount.config.ConfigurationReadiness
import org.lycheemount.config.TableSyncState

/** Summarizes the identity, readiness and configuration of this router. */
internal class StatusHandler(
    private val services: AdminServices,
) {
    fun status(): AdminResponse =
        ok(
            buildJsonObject {
                put("routerId", services.identity.routerId.value)
                put("vmId", services.identity.vmId.value)
                put("zoneId", services.identity.zoneId.value)
                put("incarnation", services.identity.incarnation)
                val reasons = services.notReadyReasons()
                put("ready", reasons.isEmpty())
                putJsonArray("notReadyReasons") { reasons.forEach { add(it) } }
                putJsonObject("configuration") {
                    when (val readiness = services.configuration.readiness()) {
                        is ConfigurationReadiness.Ready -> {
                            put("sequence", readiness.sequence)
                            put("ageMs", readiness.ageMs)
                        }
                        is ConfigurationReadiness.NotReady -> put("notReadyReason", readiness.reason)
                    }
                    put("table", toJson(services.configuration.tableSyncState()))
                }
            },
        )

    private fun toJson(state: TableSyncState) =
        when (state) {
            is TableSyncState.NeverRead -> JsonPrimitive("never_seen")
            is TableSyncState.InSync -> JsonPrimitive("in_step")
            is TableSyncState.Restored ->
                buildJsonObject {
                    put("restoredToSequence", state.headSequence)
                    putJsonArray("lostItems") { state.lostItems.forEach { add("$it") } }
                }
        }
}
