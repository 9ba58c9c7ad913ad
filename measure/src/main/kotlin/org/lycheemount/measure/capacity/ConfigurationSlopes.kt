package org.lycheemount.measure.capacity

import kotlinx.serialization.json.Json
import org.lycheemount.config.ConfigurationChange
import org.lycheemount.config.ConfigurationItem
import org.lycheemount.config.ConfigurationReplica
import org.lycheemount.measure.control.teamJson
import org.lycheemount.measure.control.teamKey

private val teamCounts = listOf(500, 1_000, 2_000, 4_000)
private const val CHANGES = 300

internal fun configurationSlopes(): List<Pair<String, Any>> =
    measureSlope("configuration_item", "bytes", teamCounts) { teams -> retainedBytes { replicaOf(teams) } } +
        measureSlope("configuration_change_by_items", "cpu_ns", teamCounts) { teams -> changeNanos(teams) }

private fun replicaOf(teams: Int): ConfigurationReplica {
    val replica = ConfigurationReplica()
    // Decoded from JSON like rows and messages, so that items do not share strings, which would lower their memory use.
    replica.merge((0 until teams).map { decodedCopy(ConfigurationItem(teamKey(it), 1, teamJson(teamKey(it), 1))) })
    replica.markComplete(1, "initial")
    return replica
}

private fun decodedCopy(item: ConfigurationItem): ConfigurationItem =
    Json.decodeFromString(ConfigurationItem.serializer(), Json.encodeToString(ConfigurationItem.serializer(), item))

private fun changeNanos(teams: Int): Double {
    val replica = replicaOf(teams)
    return cpuNanosPerOperation(CHANGES) { number ->
        val sequence = number + 2L
        val key = teamKey(number % teams)
        val item = ConfigurationItem(key, sequence, teamJson(key, number + 1))
        val text =
            Json.encodeToString(ConfigurationChange.serializer(), ConfigurationChange(sequence, sequence - 1, "c", "o", 0, listOf(item)))
        replica.apply(Json.decodeFromString(ConfigurationChange.serializer(), text))
    }
}
