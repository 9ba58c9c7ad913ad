package org.lycheemount.budget

/**
 * A response of the table, timed by both clocks. Table times are only ever compared with table times.
 *
 * @property tableTimeMs time of the response by the table's clock.
 * @property receivedAtMs monotonic time of this process after the response arrived.
 */
internal data class TableContact(
    val tableTimeMs: Long,
    val receivedAtMs: Long,
)
