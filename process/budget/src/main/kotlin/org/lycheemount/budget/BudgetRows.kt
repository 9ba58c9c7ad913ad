package org.lycheemount.budget

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.RowWrite

/**
 * Totals of a budget. `limitTokens` is `unallocatedTokens + closedTokens + transferTokens` plus the granted tokens of all open grants.
 *
 * @property closedTokens tokens charged to grants that are closed.
 * @property transferTokens tokens that closed grants sent to peers, minus those that closed grants received.
 * @property limitSequence sequence of the configuration change that set the limit; 0 for a budget funded by top-ups.
 * @property unbilledTokens part of [closedTokens] for which there is no bill: what grants of ended processes may have used at most, and
 *   [setAsideTokens].
 * @property era era of the store in which the routers last agreed on this row; 0 while the store states none. A row of an earlier era was
 *   restored from a copy and is opened with [openedIn] before tokens are taken from it.
 * @property setAsideTokens tokens that were unallocated in the restored row. Routers that held more than their restored rows show claim
 *   them from here; nobody else may use them while [settled] is false.
 * @property settled whether all routers that may hold tokens of an earlier era have claimed them.
 */
@Serializable
internal data class BudgetRow(
    val limitTokens: Long,
    val unallocatedTokens: Long,
    val closedTokens: Long = 0,
    val transferTokens: Long = 0,
    val limitSequence: Long = 0,
    val unbilledTokens: Long = 0,
    val era: Long = 0,
    val setAsideTokens: Long = 0,
    val settled: Boolean = true,
)

/**
 * Tokens allocated to one router process.
 *
 * @property settledTokens sum of the written bills of this grant.
 * @property usedTokens spent, reserved and sent tokens when this row was written.
 * @property sentTokens tokens transferred to peers; they count towards the use that [ceilingTokens] bounds.
 * @property ceilingTokens upper bound on spent, reserved and sent tokens at [lastAckedTableTimeMs]; see [ceilingAfterTokens].
 * @property ceilingTokensPerMs growth of the ceiling until the end of the outage grace.
 * @property lateCeilingTokensPerMs growth of the ceiling after the outage grace; null if the ceiling does not bind from then on.
 * @property graceEndTokens step by which the ceiling rises when the outage grace ends.
 * @property lastAckedTableTimeMs table time of the last response that the holder had received when it wrote this row.
 * @property holderListed true once the holder has seen its own VM in the VM list; before that, its absence proves nothing.
 * @property holderTransactionId last transaction of the holder that wrote this row; distinguishes a lost response from a conflict.
 * @property era era of the store in which the holder wrote this row; 0 while the store states none. The holder may have used more than
 *   the ceiling of a row of an earlier era, whose later changes are lost.
 * @property closed true once the grant was reclaimed or written off; [chargedTokens] then stays charged to the budget.
 */
@Serializable
internal data class GrantRow(
    val grantId: String,
    val budgetId: BudgetId,
    val holder: RouterIdentity,
    val grantedTokens: Long,
    val settledTokens: Long = 0,
    val sentTokens: Long = 0,
    val receivedTokens: Long = 0,
    val ceilingTokens: Long = 0,
    val lastAckedTableTimeMs: Long = 0,
    val holderListed: Boolean = false,
    val holderTransactionId: String = "",
    val closed: Boolean = false,
    val chargedTokens: Long = 0,
    val ceilingTokensPerMs: Double = 0.0,
    val lateCeilingTokensPerMs: Double? = null,
    val usedTokens: Long = 0,
    val graceEndTokens: Long = 0,
    val era: Long = 0,
) {
    /** Tokens that this open grant holds, used or not, but for those whose bills are written. */
    val heldTokens: Long get() = grantedTokens + receivedTokens - sentTokens - settledTokens

    /** Tokens of the budget that this grant takes up. */
    val allocatedTokens: Long get() = if (closed) chargedTokens + sentTokens - receivedTokens else grantedTokens

    /** Tokens charged to this closed grant for which there is no bill. */
    val unbilledTokens: Long get() = chargedTokens - settledTokens

    /**
     * Upper bound on spent, reserved and sent tokens [elapsedMs] after the last contact, less those received since this row was written.
     * Null if the ceiling no longer binds.
     */
    fun ceilingAfterTokens(
        elapsedMs: Long,
        outageGraceMs: Long,
    ): Long? {
        val growthTokens = ceilingTokensPerMs * elapsedMs.coerceIn(0, outageGraceMs)
        if (elapsedMs < outageGraceMs) return ceilingTokens + growthTokens.toLong()
        val lateTokensPerMs = lateCeilingTokensPerMs ?: return null
        return ceilingTokens + graceEndTokens + (growthTokens + lateTokensPerMs * (elapsedMs - outageGraceMs)).toLong()
    }
}

/** Closes [grant]: [reclaimedTokens] of its tokens become unallocated, and the rest stays charged to [budget]. */
internal fun closeGrant(
    budget: BudgetRow,
    grant: GrantRow,
    reclaimedTokens: Long,
): Pair<BudgetRow, GrantRow> {
    val charged = grant.grantedTokens + grant.receivedTokens - reclaimedTokens - grant.sentTokens
    val changed =
        budget.copy(
            unallocatedTokens = budget.unallocatedTokens + reclaimedTokens,
            closedTokens = budget.closedTokens + charged,
            transferTokens = budget.transferTokens + grant.sentTokens - grant.receivedTokens,
            unbilledTokens = budget.unbilledTokens + charged - grant.settledTokens,
        )
    return changed to grant.copy(closed = true, chargedTokens = charged)
}

/** A written bill and the grant that it was charged to. */
@Serializable
internal data class BillRow(
    val bill: Bill,
    val grantId: String,
)

@Serializable
internal data class TopUpRow(
    val tokens: Long,
)

internal val rowJson = Json { encodeDefaults = true }

internal const val BUDGET_PREFIX = "budget/"
internal const val GRANT_PREFIX = "grant/"

internal fun budgetKey(budgetId: BudgetId) = "$BUDGET_PREFIX${budgetId.value}"

internal fun grantPrefix(budgetId: BudgetId) = "$GRANT_PREFIX${budgetId.value}/"

internal fun grantKey(
    budgetId: BudgetId,
    grantId: String,
) = grantPrefix(budgetId) + grantId

internal fun billPrefix(budgetId: BudgetId) = "bill/${budgetId.value}/"

internal fun billKey(
    budgetId: BudgetId,
    requestId: RequestId,
) = billPrefix(budgetId) + requestId.value

internal fun topUpKey(
    budgetId: BudgetId,
    topUpId: String,
) = "topup/${budgetId.value}/$topUpId"

internal inline fun <reified T> decodeRow(value: String): T = rowJson.decodeFromString(value)

internal inline fun <reified T> writeRow(
    key: String,
    value: T,
) = RowWrite(key, rowJson.encodeToString(value))
