package org.lycheemount.measure.budgets

/** A fault, its end, or a top-up at a given time of the trace. */
internal sealed interface ScenarioEvent {
    data class TableOutage(
        val isDown: Boolean,
    ) : ScenarioEvent

    /** While [isPartitioned], the routers of [zone] reach neither other zones nor the table. */
    data class ZonePartition(
        val zone: Int,
        val isPartitioned: Boolean,
    ) : ScenarioEvent

    data class RouterCrash(
        val router: Int,
    ) : ScenarioEvent

    /** Adds tokens to each budget, in hours of the mean use of its team. */
    data class TopUp(
        val hoursOfUse: Double,
    ) : ScenarioEvent
}

/**
 * Duration, initial budgets and events of one run.
 *
 * @property initialHoursOfUse tokens of each budget at the start, in hours of its team's mean use.
 * @property countsLastPartOnly whether the figures count only requests that arrive after the exact ledger has used 95% of their budget.
 */
internal class Scenario(
    val name: String,
    val durationMs: Long,
    val initialHoursOfUse: Double,
    val events: List<Pair<Long, ScenarioEvent>> = emptyList(),
    val countsLastPartOnly: Boolean = false,
) {
    companion object {
        private const val MINUTE_MS = 60_000L
        const val HOUR_MS = 60 * MINUTE_MS

        val ALL =
            listOf(
                Scenario("normal", 90 * MINUTE_MS, initialHoursOfUse = 6.0),
                Scenario(
                    "outage",
                    120 * MINUTE_MS,
                    initialHoursOfUse = 6.0,
                    listOf(30 * MINUTE_MS to ScenarioEvent.TableOutage(true), 90 * MINUTE_MS to ScenarioEvent.TableOutage(false)),
                ),
                Scenario(
                    "partition",
                    150 * MINUTE_MS,
                    initialHoursOfUse = 2.2,
                    listOf(
                        30 * MINUTE_MS to ScenarioEvent.ZonePartition(0, true),
                        45 * MINUTE_MS to ScenarioEvent.TopUp(0.5),
                        70 * MINUTE_MS to ScenarioEvent.TopUp(0.5),
                        90 * MINUTE_MS to ScenarioEvent.ZonePartition(0, false),
                    ),
                ),
                Scenario(
                    "deaths",
                    90 * MINUTE_MS,
                    initialHoursOfUse = 2.5,
                    listOf(
                        30 * MINUTE_MS to ScenarioEvent.RouterCrash(1),
                        30 * MINUTE_MS + 400 to ScenarioEvent.RouterCrash(3),
                        31 * MINUTE_MS to ScenarioEvent.RouterCrash(5),
                    ),
                ),
                Scenario("last_part", 80 * MINUTE_MS, initialHoursOfUse = 1.0, countsLastPartOnly = true),
            )
    }
}
