package org.lycheemount.claims

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.RouterIdentity

/**
 * Row in the table that assigns a partition to a pair of routers.
 *
 * @property epoch incremented by each change of the pair.
 * @property primary router that decides claims. In later epochs it starts with its own records, unless [recoversFromTable] is set.
 * @property secondary router that must record a claim before it is granted.
 * @property unknownUntilMs wall-clock time until which keys without a record are refused as unknown, because both routers of an earlier
 *   pair were lost; 0 if no pair was lost.
 * @property recoversFromTable whether the primary starts with the outcomes in the table instead of its own records.
 * @property closed whether the pair ended with all outcomes in the table and no running request; any router may take over.
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
