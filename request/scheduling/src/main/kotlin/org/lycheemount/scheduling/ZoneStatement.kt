package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Whether the operator has an availability zone evacuated.
 *
 * @property version version of the store's row, of its removal, or of the read that showed its absence; a statement with a higher version
 *   replaces one with a lower version.
 * @property asOfMs monotonic time of this router at which the first router learned it.
 */
data class ZoneStatement(
    val zoneId: ZoneId,
    val isEvacuated: Boolean,
    val version: Long,
    val asOfMs: Long,
)
