package org.lycheemount.budget

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject
import org.lycheemount.common.Clock
import org.lycheemount.common.StateDumpSource

/** State dump of the budget accounting of this router. */
internal class BudgetStateDump(
    private val components: BudgetComponents,
    private val session: TableSession,
    private val clock: Clock,
) : StateDumpSource {
    override val name: String = "budgets"

    override fun dumpState(): JsonObject {
        val nowMs = clock.monotonicMs()
        return buildJsonObject {
            put("unwrittenBills", components.bills.size())
            put("openReservations", components.ledger.openReservationCount())
            put("keptPeerBills", components.replicas.replicaCount())
            put(
                "billCopiesAt",
                components.replicator.replicaPeer
                    ?.routerId
                    ?.value,
            )
            put("openTransfers", components.transfers.openTransferCount())
            put("transactionInDoubt", components.writer.inDoubt)
            put("lastContactAgeMs", session.lastContact?.let { nowMs - it.receivedAtMs })
            putJsonObject("budgets") {
                for (account in components.accounts.all()) putJsonObject(account.budgetId.value) { putAccount(account, nowMs) }
            }
        }
    }

    private fun JsonObjectBuilder.putAccount(
        account: BudgetAccount,
        nowMs: Long,
    ) = synchronized(account) {
        put("usableTokens", account.usableTokens(nowMs))
        put("wantedTokens", account.unmetDemandTokens)
        put("spendTokensPerSecond", account.meter.ratePerMs * 1_000)
        put("useSharePermille", (account.meter.usageRatio * 1_000).toLong())
        put("remainingTokens", account.balance?.remainingTokens)
        put("remainingAgeMs", account.balance?.let { nowMs - it.readAtMs })
        for (grant in account.allGrants()) putJsonObject(grant.grantId) { putGrant(grant) }
    }

    private fun JsonObjectBuilder.putGrant(grant: Grant) {
        put("capacityTokens", grant.capacityTokens)
        put("spentTokens", grant.spentTokens)
        put("reservedTokens", grant.reservedTokens)
        put("sentTokens", grant.sentTokens)
        put("receivedTokens", grant.receivedTokens)
        put("ceilingTokens", grant.row?.ceilingTokens)
        put("lastAckedTableTimeMs", grant.row?.lastAckedTableTimeMs)
        put("unwrittenBills", grant.unwrittenBills)
        put("closed", grant.closed)
    }
}
