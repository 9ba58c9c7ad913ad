package org.lycheemount.scheduling

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.RequestId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RecordedTraceTest {
    @Serializable
    private data class Step(
        val atMs: Long,
        val operation: String,
        val id: String = "",
        val team: String = "",
        val workClass: String = "",
        val everyMs: Long = 0,
        val untilMs: Long = 0,
        val server: Int = 0,
    )

    @Nested
    inner class `a long request behind a steady load of urgent requests` {
        @Test
        fun `finishes within its completion target, even while a server fails`() = replay("long-assessment-behind-counter-traffic")
    }

    private fun replay(name: String) {
        val fleet = FakeFleet(serverCount = 2)
        val text = checkNotNull(javaClass.getResource("/traces/$name.jsonl")).readText()
        val steps = text.trim().lines().map { Json.decodeFromString<Step>(it) }
        val traffic = steps.filter { it.operation == "traffic" }
        var requests = 0
        for (step in (steps - traffic.toSet()).sortedBy { it.atMs }) {
            fleet.run(step.atMs) { nowMs ->
                val due = traffic.filter { nowMs in it.atMs until it.untilMs && nowMs % it.everyMs == 0L }
                due.forEach { fleet.submit(itemOf(it, "traffic-${requests++}", nowMs)) }
            }
            apply(step, fleet)
        }
    }

    private fun apply(
        step: Step,
        fleet: FakeFleet,
    ) {
        val requestId = RequestId(step.id)
        val serverId = BackendServerId("s${step.server}")
        when (step.operation) {
            "submit" -> fleet.submit(itemOf(step, step.id, fleet.nowMs))
            "failServer" -> fleet.failing += serverId
            "restoreServer" -> fleet.failing -= serverId
            "expectFinished" -> assertTrue(requestId in fleet.finishedAtMs, "${step.id} has not finished by ${step.atMs} ms")
            "expectNeverRefused" -> assertFalse(requestId in fleet.refused, "${step.id} was refused")
            else -> error("unknown operation ${step.operation}")
        }
    }

    private fun itemOf(
        step: Step,
        id: String,
        nowMs: Long,
    ): WorkItem {
        val workClass = listOf(urgentClass, delayTolerantClass).single { it.workClassId.value == step.workClass }
        return item(id, team = step.team, workClass = workClass, arrivedAtMs = nowMs)
    }
}
