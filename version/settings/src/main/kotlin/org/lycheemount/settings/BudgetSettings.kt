package org.lycheemount.settings

import kotlinx.serialization.Serializable

/**
 * Settings that determine the size of grants.
 *
 * @property expectedOutageMs duration of a platform outage that grants should cover.
 * @property outageGraceMs time without a response of the table after which a router may spend beyond its ceiling.
 * @property flushIntervalMs interval between two writes of bills.
 */
@Serializable
data class BudgetSettings(
    val expectedOutageMs: Long = 3_600_000,
    val outageGraceMs: Long = 120_000,
    val flushIntervalMs: Long = 1_000,
)
