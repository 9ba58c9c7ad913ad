package org.lycheemount.admin

import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.lycheemount.config.ConfigurationReadiness
import org.lycheemount.config.TableStanding

/** Describes this router in a few lines. */
internal class StatusHandler(
    private val services: AdminServices,
) {
    fun status(): AdminReply =
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
                    put("table", standing(services.configuration.tableStanding()))
                }
            },
        )

    private fun standing(standing: TableStanding) =
        when (standing) {
            is TableStanding.NeverSeen -> JsonPrimitive("never_seen")
            is TableStanding.InStep -> JsonPrimitive("in_step")
            is TableStanding.Restored ->
                buildJsonObject {
                    put("restoredToSequence", standing.headSequence)
                    putJsonArray("lostItems") { standing.lostItems.forEach { add("$it") } }
                }
        }
}
