package org.lycheemount.budget

/**
 * A response of the table, in both time scales. They are never mixed: table times are compared with table times only.
 *
 * @property tableTimeMs the table's clock when it answered.
 * @property receivedAtMs monotonic time of this process after the answer had arrived.
 */
internal data class TableContact(
    val tableTimeMs: Long,
    val receivedAtMs: Long,
)
