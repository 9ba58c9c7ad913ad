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
 * Claims of one router.
 *
 * @property registry claims and outcomes of requests; safe to call from any coroutine.
 */
class ClaimsModule internal constructor(
    private val implementation: DefaultClaimRegistry,
) {
    val registry: ClaimRegistry = implementation
    val stateDump: StateDumpSource = implementation

    /** Starts the background work in [scope]. */
    fun start(scope: CoroutineScope): Job = implementation.start(scope)

    /**
     * Writes the outcomes that wait and closes this router's partitions, as far as the table answers. To be called at
     * shutdown, when no request runs any more; claims can still be forwarded to other routers.
     */
    suspend fun close() = implementation.close()
}

/**
 * Creates the claims of the router that [peers] belongs to; messages are handled at once, background work after `start`.
 *
 * @param isGone whether a router process has certainly ended: its VM is absent from the VM list, or a newer incarnation
 *   runs. Silence is no evidence, because a paused or partitioned router may go on.
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
