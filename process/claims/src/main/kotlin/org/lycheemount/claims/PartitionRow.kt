package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.RouterIdentity

/**
 * The pair of routers that decides the claims of a partition, as the table names it.
 *
 * @property epoch raised by each change of the pair.
 * @property primary decides claims; in epochs after the first it brought the claims with it.
 * @property secondary must record a claim before it is granted.
 * @property unknownUntilMs table time until which keys without a record are refused as unknown, because both routers of
 *   an earlier pair were lost; 0 when nothing was lost.
 * @property recoversFromTable the primary starts with the outcomes in the table instead of its own records.
 * @property closed the pair has ended with every outcome in the table and no request running; any router may follow.
 */
@Serializable
internal data class PartitionRow(
    val partition: Int,
    val epoch: Long,
    val primary: RouterIdentity,
    val secondary: RouterIdentity,
    val unknownUntilMs: Long = 0,
    @SerialName("fromTable") val recoversFromTable: Boolean = false,
    val closed: Boolean = false,
)

internal const val FIRST_EPOCH = 1L
internal const val PARTITION_PREFIX = "claim-partition/"

internal fun partitionKey(partition: Int) = PARTITION_PREFIX + partition.toString().padStart(6, '0')

internal fun outcomePrefix(partition: Int) = "claim-outcome/${partition.toString().padStart(6, '0')}/"
