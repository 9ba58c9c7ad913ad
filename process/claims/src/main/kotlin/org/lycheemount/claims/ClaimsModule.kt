package org.lycheemount.claims

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.StateDumpSource
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.TableService
import java.util.concurrent.atomic.AtomicLong

/**
 * Claim registry of one router.
 *
 * @property registry claims and outcomes of requests. Safe to call from any coroutine.
 */
class ClaimsModule internal constructor(
    private val implementation: DefaultClaimRegistry,
) {
    val registry: ClaimRegistry = implementation
    val stateDump: StateDumpSource = implementation

    /** Starts the background work in [scope]. */
    fun start(scope: CoroutineScope): Job = implementation.start(scope)

    /**
     * Closes the partitions of this router and writes pending outcomes; gives up if the table does not respond. Called at shutdown,
     * after all requests have ended. Claims can still be forwarded to other routers.
     */
    suspend fun close() = implementation.close()
}

/**
 * Creates the claim registry of the router that [peers] belongs to. It handles messages at once; background work starts with `start`.
 *
 * @param isGone whether a router process has definitely ended: its VM is missing from the VM list, or a newer incarnation is
 *   running. Silence is no evidence, because a paused or partitioned router may continue.
 */
fun createClaims(
    table: TableService,
    peers: PeerMessenger,
    clock: Clock,
    log: EventLog,
    isGone: (RouterIdentity) -> Boolean,
    options: ClaimOptions = ClaimOptions(),
): ClaimsModule {
    val counter = AtomicLong()
    val prefix = "claims-${peers.self.routerId.value}-${peers.self.incarnation}-"
    val newTransactionId = { prefix + counter.incrementAndGet() }
    val outcomes = OutcomeStore(table, options, newTransactionId)
    val context = ClaimContext(peers, PartitionRowStore(table, newTransactionId), outcomes, clock, log, options, isGone)
    return ClaimsModule(DefaultClaimRegistry(context))
}
