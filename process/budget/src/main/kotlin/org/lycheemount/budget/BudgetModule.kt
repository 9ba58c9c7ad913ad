package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.StateDumpSource
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import kotlin.random.Random

/**
 * Budget accounting of one router.
 *
 * @property ledger reservations and settlements of requests.
 * @property maintenance background work, which the owner starts and drains; also lets requests wait for tokens.
 */
class BudgetModule internal constructor(
    val ledger: BudgetLedger,
    val maintenance: BudgetMaintenance,
    val stateDump: StateDumpSource,
    internal val components: BudgetComponents,
) {
    /**
     * Tokens that stay charged without a bill, for the budgets that this router has read and that have any. Ended processes may have used
     * them, but nothing shows that they did.
     */
    fun unbilledTokens(): Map<BudgetId, Long> =
        components.accounts
            .all()
            .mapNotNull { account -> synchronized(account) { account.budgetRow?.unbilledTokens }?.let { account.budgetId to it } }
            .filter { (_, tokens) -> tokens > 0 }
            .toMap()
}

/**
 * Creates the budget accounting of the router that [peers] belongs to. No background work runs before [BudgetMaintenance.start].
 *
 * @param startedAtMs monotonic time at which this process was already running. The earlier it is, the more of the grants of an
 *   earlier process on this VM can be reclaimed.
 * @param routerCount number of routers that may draw on a budget, including this one.
 */
fun createBudgetLedgerModule(
    table: TableService,
    vmDirectory: VmDirectory,
    peers: PeerMessenger,
    clock: Clock,
    log: EventLog,
    options: BudgetOptions = BudgetOptions(),
    random: Random = Random.Default,
    startedAtMs: Long = clock.monotonicMs(),
    routerCount: () -> Int = { peers.connectedPeers().size + 1 },
): BudgetModule {
    val self = peers.self
    val accounts = BudgetAccounts(options.rateWindowMs)
    val bills = BillQueue()
    val signals = WorkSignals()
    val session = TableSession(table, clock, "budget-${self.routerId.value}-${self.incarnation}", startedAtMs)
    val writer = TableWriter(self, session, clock, options, log, routerCount)
    val allocator = GrantAllocator(writer, session, clock, options, log, random, routerCount)
    val flusher = BillFlusher(accounts, bills, writer, session, clock, options, log)
    val reclaimer = GrantReclaimer(vmDirectory, writer, session, clock, options, log)
    val ledger = DefaultBudgetLedger(self.routerId, accounts, bills, clock, signals, options.unavailableRetryMs)
    val transfers = TransferExchange(peers, accounts, clock, options, signals, allocator::newGrant, log, random)
    val replicator = BillReplicator(peers, bills, options)
    val replicas = ReplicaWriter(peers, writer, session, reclaimer, clock, options, log)
    flusher.onWritten = replicator::recordWritten
    transfers.register()
    replicas.register()
    val components =
        BudgetComponents(accounts, bills, ledger, writer, allocator, flusher, reclaimer, transfers, replicator, replicas, signals)
    return BudgetModule(
        ledger,
        BudgetMaintenance(components, TableMaintenance(components, clock, options, random), clock, options, log) {
            peers.connectedPeers().isNotEmpty()
        },
        BudgetStateDump(components, session, clock),
        components,
    )
}

/** Creates the administration of budgets. [newTransactionId] returns a unique id on each call. */
fun createBudgetAdministration(
    table: TableService,
    newTransactionId: () -> String,
): BudgetAdministration = DefaultBudgetAdministration(table, newTransactionId)

/** Creates the writer of limits. [newTransactionId] returns a unique id on each call. */
fun createBudgetLimitWriter(
    table: TableService,
    newTransactionId: () -> String,
): BudgetLimitWriter = DefaultBudgetAdministration(table, newTransactionId)
