package org.lycheemount.placement

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.lycheemount.common.Clock
import org.lycheemount.common.RouterId
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.RowCheck
import org.lycheemount.platform.RowWrite
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableRow
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableTransaction

private const val LEASE_MS = 15_000L

// Covers the drift between the clocks of this VM and the table during one lease.
private const val DRIFT_MARGIN_MS = 1_000L

/** Row of a placement lease. */
@Serializable
internal data class LeaseRow(
    val holder: String,
    val fencingToken: Long,
    val expiresAtTableTimeMs: Long,
)

/**
 * Lease on the placement of one model in one zone.
 *
 * The fencing token grows with each change of holder, and when a holder acquires the lease again after its expiry. It is at least the
 * time of the table in milliseconds, so that it also grows when the row has come back from an older copy.
 */
internal class PlacementLease(
    private val key: String,
    private val routerId: RouterId,
    private val table: TableService,
    private val clock: Clock,
    private val nextTransactionId: () -> String,
) {
    private var heldUntilMs = Long.MIN_VALUE
    private var lastToken = 0L

    /** Fencing token while this router holds the lease, or null. Check it directly before each command. */
    fun heldToken(): Long? = lastToken.takeIf { clock.monotonicMs() < heldUntilMs }

    /** Acquires or renews the lease and returns whether it is held. A commit whose response is lost does not extend the term. */
    suspend fun acquire(): Boolean {
        val startedAtMs = clock.monotonicMs()
        val snapshot = (table.read(listOf(key)) as? TableResult.Response)?.value ?: return heldToken() != null
        val row = snapshot.find(key)
        val lease = row?.let(::decode)
        if (lease != null && lease.holder != routerId.value && lease.expiresAtTableTimeMs > snapshot.tableTimeMs) {
            heldUntilMs = Long.MIN_VALUE
            return false
        }
        val isRenewal = lease != null && lease.holder == routerId.value && heldToken() == lease.fencingToken
        val token = if (lease != null && isRenewal) lease.fencingToken else nextToken(lease, snapshot.tableTimeMs)
        val next = LeaseRow(routerId.value, token, snapshot.tableTimeMs + LEASE_MS)
        if (!commit(row, next)) return heldToken() != null
        lastToken = token
        // Starts the term before the read, so that it ends here before another router can acquire the lease.
        heldUntilMs = startedAtMs + LEASE_MS - DRIFT_MARGIN_MS
        return heldToken() != null
    }

    /** Treats the lease as lost because an engine has seen a newer token. */
    fun invalidate() {
        heldUntilMs = Long.MIN_VALUE
    }

    private fun nextToken(
        lease: LeaseRow?,
        tableTimeMs: Long,
    ) = maxOf(lease?.fencingToken ?: 0, lastToken, tableTimeMs) + 1

    private suspend fun commit(
        previous: TableRow?,
        next: LeaseRow,
    ): Boolean {
        val write = RowWrite(key, Json.encodeToString(LeaseRow.serializer(), next))
        val transaction = TableTransaction(nextTransactionId(), listOf(RowCheck(key, previous?.version ?: 0)), listOf(write))
        val result = table.commit(transaction)
        return result is TableResult.Response && result.value is CommitOutcome.Committed
    }

    private fun decode(row: TableRow) = Json.decodeFromString(LeaseRow.serializer(), row.value)
}
