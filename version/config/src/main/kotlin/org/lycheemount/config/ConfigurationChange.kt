package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An accepted change, as stored in the history.
 *
 * @property sequence position in the order of all changes; sequences have gaps, see [previousSequence].
 * @property previousSequence sequence of the preceding change in the table; 0 for the first change.
 * @property operator name of the administration key that made the change.
 * @property acceptedAtMs time of the table's clock, in milliseconds since the Unix epoch.
 * @property isRepublished true if the change wrote back versions that a restored table had lost.
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
