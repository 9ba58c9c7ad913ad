package org.lycheemount.budget

import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.StateDumpSource
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import kotlin.random.Random

/**
 * Budgets of one router.
 *
 * @property ledger reservations and settlements of requests.
 * @property maintenance background work, to be started and drained by the owner; also waits for tokens.
 */
class BudgetModule internal constructor(
    val ledger: BudgetLedger,
    val maintenance: BudgetMaintenance,
    val stateDump: StateDumpSource,
    internal val components: BudgetComponents,
)

/**
 * Creates the ledger of the router [peers] belongs to; nothing runs before [BudgetMaintenance.start].
 *
 * @param startedAtMs monotonic time at which this process was running already; the earlier it is, the more of an earlier process's
 *   grants can be reclaimed.
 * @param routerCount routers that may draw on a budget, this one included.
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
    val writer = TableWriter(self, session, clock, options, log)
    val allocator = GrantAllocator(writer, session, clock, options, log, routerCount)
    val flusher = BillFlusher(accounts, bills, writer, session, clock, options, log)
    val reclaimer = GrantReclaimer(vmDirectory, writer, session, clock, options, log)
    val ledger = DefaultBudgetLedger(self.routerId, accounts, bills, clock, signals, options.unavailableRetryMs)
    val transfers = TransferExchange(peers, accounts, clock, options, signals, allocator::newGrant, log)
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

/** Creates the administration of budgets; [newTransactionId] returns an id that no other call returns. */
fun createBudgetAdministration(
    table: TableService,
    newTransactionId: () -> String,
): BudgetAdministration = DefaultBudgetAdministration(table, newTransactionId)

/** Creates the writer of limits; [newTransactionId] returns an id that no other call returns. */
fun createBudgetLimitWriter(
    table: TableService,
    newTransactionId: () -> String,
): BudgetLimitWriter = DefaultBudgetAdministration(table, newTransactionId)
