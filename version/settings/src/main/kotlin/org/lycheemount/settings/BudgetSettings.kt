package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * How grants are sized.
 *
 * @property expectedOutageMs length of a platform outage that grants should outlast.
 * @property outageGraceMs time without contact to the table after which a router may spend beyond its ceiling.
 * @property flushIntervalMs time between two writes of bills.
 */
@Serializable
data class BudgetSettings(
    val expectedOutageMs: Long = 3_600_000,
    val outageGraceMs: Long = 120_000,
    val flushIntervalMs: Long = 1_000,
)
