package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One accepted change, as kept in the history.
 *
 * @property sequence position in the order of all changes; not contiguous, see [previousSequence].
 * @property previousSequence sequence of the change before this one in the table; 0 for the first.
 * @property operator name of the key that made the change.
 * @property acceptedAtMs the table's clock, milliseconds since the Unix epoch.
 * @property isRepublished true when the change wrote back versions that a restored table had lost.
 */
@Serializable
data class ConfigurationChange(
    val sequence: Long,
    val previousSequence: Long,
    val changeId: String,
    val operator: String,
    val acceptedAtMs: Long,
    val items: List<ConfigurationItem>,
    @SerialName("republished")
    val isRepublished: Boolean = false,
)
