package org.lycheemount.measure.budgets

/** A change of the environment at a time of the trace. */
internal sealed interface SimEvent {
    data class TableOutage(
        val down: Boolean,
    ) : SimEvent

    /** The routers of the zone [zone] reach neither other zones nor the table while [cut]. */
    data class ZonePartition(
        val zone: Int,
        val cut: Boolean,
    ) : SimEvent

    data class Death(
        val router: Int,
    ) : SimEvent

    /** Tokens for each team in hours of its mean use. */
    data class TopUp(
        val hoursOfUse: Double,
    ) : SimEvent
}

/**
 * @property fundedHours tokens of each budget at the start, in hours of its team's mean use.
 * @property lastPartOnly counts only requests that arrive after the exact ledger has used 95% of their budget.
 */
internal class Scenario(
    val name: String,
    val durationMs: Long,
    val fundedHours: Double,
    val events: List<Pair<Long, SimEvent>> = emptyList(),
    val lastPartOnly: Boolean = false,
) {
    companion object {
        private const val MINUTE_MS = 60_000L
        const val HOUR_MS = 60 * MINUTE_MS

        val ALL =
            listOf(
                Scenario("normal", 90 * MINUTE_MS, fundedHours = 6.0),
                Scenario(
                    "outage",
                    120 * MINUTE_MS,
                    fundedHours = 6.0,
                    listOf(30 * MINUTE_MS to SimEvent.TableOutage(true), 90 * MINUTE_MS to SimEvent.TableOutage(false)),
                ),
                Scenario(
                    "partition",
                    150 * MINUTE_MS,
                    fundedHours = 2.2,
                    listOf(
                        30 * MINUTE_MS to SimEvent.ZonePartition(0, true),
                        45 * MINUTE_MS to SimEvent.TopUp(0.5),
                        70 * MINUTE_MS to SimEvent.TopUp(0.5),
                        90 * MINUTE_MS to SimEvent.ZonePartition(0, false),
                    ),
                ),
                Scenario(
                    "deaths",
                    90 * MINUTE_MS,
                    fundedHours = 2.5,
                    listOf(
                        30 * MINUTE_MS to SimEvent.Death(1),
                        30 * MINUTE_MS + 400 to SimEvent.Death(3),
                        31 * MINUTE_MS to SimEvent.Death(5),
                    ),
                ),
                Scenario("last_part", 80 * MINUTE_MS, fundedHours = 1.0, lastPartOnly = true),
            )
    }
}
