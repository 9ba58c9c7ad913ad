package org.lycheemount.budget

import org.lycheemount.common.BudgetId
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.StateDumpSource
import org.lycheemount.peer.PeerMessenger
import org.lycheemount.platform.StoreEras
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
    fun unbilledTokens(): Map<BudgetId, Long> = tokensOfBudgets { it.unbilledTokens }

    /**
     * Tokens that are set aside since the store came back from an older copy, for the budgets that this router has read and that have any.
     * They are part of [unbilledTokens] until all routers that may have held some of them have claimed them.
     */
    fun setAsideTokens(): Map<BudgetId, Long> = tokensOfBudgets { it.setAsideTokens }

    private fun tokensOfBudgets(tokens: (BudgetRow) -> Long): Map<BudgetId, Long> =
        components.accounts
            .all()
            .mapNotNull { account -> synchronized(account) { account.budgetRow }?.let { account.budgetId to tokens(it) } }
            .filter { (_, tokens) -> tokens > 0 }
            .toMap()
}

/**
 * Creates the budget accounting of the router that [peers] belongs to. No background work runs before [BudgetMaintenance.start].
 *
 * @param startedAtMs monotonic time at which this process was already running. The earlier it is, the more of the grants of an
 *   earlier process on this VM can be reclaimed.
 * @param routerCount number of routers that may draw on a budget, including this one.
 * @param eras eras of the store that keeps [table].
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
    eras: StoreEras = UnstatedEras,
): BudgetModule {
    val self = peers.self
    val accounts = BudgetAccounts(options.rateWindowMs)
    val bills = BillQueue()
    val signals = WorkSignals()
    val session = TableSession(table, clock, "budget-${self.routerId.value}-${self.incarnation}", startedAtMs, eras)
    val writer = TableWriter(self, session, clock, options, log, routerCount)
    val allocator = GrantAllocator(writer, session, clock, options, log, random, routerCount)
    val flusher = BillFlusher(accounts, bills, writer, session, clock, options, log)
    val reclaimer = GrantReclaimer(accounts, vmDirectory, writer, session, clock, options, log)
    val ledger = DefaultBudgetLedger(self.routerId, accounts, bills, clock, signals, options.unavailableRetryMs)
    val transfers = TransferExchange(peers, accounts, clock, options, signals, allocator::newGrant, log, random)
    val replicator = BillReplicator(peers, bills, options)
    val recovery = GrantRecovery(accounts, reclaimer, writer, session, peers, clock, log, random)
    val settlement = BudgetSettlement(recovery, writer, session, clock, log)
    val replicas = ReplicaWriter(peers, writer, session, reclaimer, clock, options, log)
    flusher.onWritten = replicator::recordWritten
    transfers.register()
    replicas.register()
    val components =
        BudgetComponents(
            accounts,
            bills,
            ledger,
            writer,
            allocator,
            flusher,
            reclaimer,
            transfers,
            replicator,
            replicas,
            signals,
            recovery,
            settlement,
        )
    return BudgetModule(
        ledger,
        BudgetMaintenance(components, TableMaintenance(components, clock, options, random), clock, options, log, eras) {
            peers.connectedPeers().isNotEmpty()
        },
        BudgetStateDump(components, session, clock),
        components,
    )
}

/** Creates the administration of budgets. [newTransactionId] returns a unique id on each call. */
fun createBudgetAdministration(
    table: TableService,
    eras: StoreEras = UnstatedEras,
    newTransactionId: () -> String,
): BudgetAdministration = DefaultBudgetAdministration(table, eras, newTransactionId)

/** Creates the writer of limits. [newTransactionId] returns a unique id on each call. */
fun createBudgetLimitWriter(
    table: TableService,
    eras: StoreEras = UnstatedEras,
    newTransactionId: () -> String,
): BudgetLimitWriter = DefaultBudgetAdministration(table, eras, newTransactionId)

/** Creates the administration of budgets after a return of the store. [newTransactionId] returns a unique id on each call. */
fun createRestoredBudgetAdministration(
    table: TableService,
    eras: StoreEras,
    probe: RouterProbe,
    newTransactionId: () -> String,
): RestoredBudgetAdministration = DefaultRestoredBudgetAdministration(table, eras, probe, newTransactionId)
