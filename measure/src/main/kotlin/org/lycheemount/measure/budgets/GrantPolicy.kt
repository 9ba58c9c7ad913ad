package org.lycheemount.measure.budgets

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.budget.BillsResult
import org.lycheemount.budget.BudgetAdministration
import org.lycheemount.budget.BudgetModule
import org.lycheemount.budget.BudgetStatusResult
import org.lycheemount.budget.Charge
import org.lycheemount.budget.ReservationOutcome
import org.lycheemount.budget.createBudgetAdministration
import org.lycheemount.budget.createBudgetLedgerModule
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.BudgetId
import org.lycheemount.common.DiscardingEventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RefusalReason
import org.lycheemount.common.RegionId
import org.lycheemount.common.RequestId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableLink
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.FakeVmDirectory
import kotlin.random.Random

/**
 * Runs the ledger of the product, one instance for each router.
 *
 * @property reservesIncrementally if false, a request reserves its worst case at admission even when tokens are short, for comparison.
 */
internal class GrantPolicy(
    private val simulation: Simulation,
    private val reservesIncrementally: Boolean = true,
) : BudgetPolicy {
    private val table = FakeTableService(simulation.clock)
    private val vms = FakeVmDirectory(simulation.clock)
    private val network = FakePeerNetwork(simulation.scope, latencyMs = 1, seed = simulation.deployment.seed)
    private val identities = List(simulation.deployment.routerCount, ::identityOf)
    private val links = identities.map { FakeTableLink(table, simulation.scope, random = Random(it.hashCode())) }
    private val modules: List<BudgetModule>
    private val administration: BudgetAdministration
    private val settledRequests = HashMap<RequestId, Int>()

    init {
        var transactions = 0
        administration = createBudgetAdministration(table) { "admin-${transactions++}" }
        modules =
            identities.mapIndexed { router, identity ->
                vms.add(identity)
                createBudgetLedgerModule(
                    links[router],
                    vms,
                    network.join(identity),
                    simulation.clock,
                    DiscardingEventLog,
                    random = Random(router),
                )
            }
    }

    override val tableWrites: Int get() = table.commitCount

    override suspend fun start(limits: List<Long>) {
        limits.forEachIndexed { team, tokens ->
            administration.create(budgetIdOf(team))
            administration.topUp(budgetIdOf(team), "start", tokens)
        }
        val budgets = limits.indices.map(::budgetIdOf).toSet()
        modules.forEachIndexed { router, module ->
            module.maintenance.prefetchGrants(budgets)
            module.maintenance.start(simulation.routerScope(router))
        }
        delay(STARTUP_MS)
    }

    override suspend fun serve(
        router: Int,
        request: TraceRequest,
    ): RequestOutcome {
        val id = RequestId("request-${request.index}")
        var reservedTokens = admit(router, id, request) ?: return RequestOutcome.REFUSED
        var generatedTokens = 0
        try {
            while (true) {
                val allowedOutputTokens = minOf(request.outputTokens.toLong(), reservedTokens - request.promptTokens).toInt()
                delay((allowedOutputTokens - generatedTokens) * Simulation.MS_PER_TOKEN)
                generatedTokens = allowedOutputTokens
                if (generatedTokens == request.outputTokens) break
                reservedTokens = extend(router, id, request, reservedTokens) ?: break
            }
        } catch (cancellation: CancellationException) {
            // The engine may have generated all tokens that the crashed router had reserved, so all of them count as used.
            simulation.usage.use(request.team, reservedTokens)
            throw cancellation
        }
        return settle(router, id, request, generatedTokens)
    }

    private fun settle(
        router: Int,
        id: RequestId,
        request: TraceRequest,
        generatedTokens: Int,
    ): RequestOutcome {
        val charge = Charge(TeamId("team-${request.team}"), MODEL, request.promptTokens.toLong(), generatedTokens.toLong())
        modules[router].ledger.settle(id, charge, simulation.clock.monotonicMs())
        settledRequests[id] = router
        simulation.usage.use(request.team, charge.totalTokens)
        return if (generatedTokens == request.outputTokens) RequestOutcome.COMPLETE else RequestOutcome.TRUNCATED
    }

    private suspend fun admit(
        router: Int,
        id: RequestId,
        request: TraceRequest,
    ): Long? {
        val initialTokens = (request.promptTokens + minOf(INITIAL_RESERVATION_TOKENS, request.maxOutputTokens)).toLong()
        val minTokens = if (reservesIncrementally) initialTokens else request.worstCaseTokens
        return reserveOrWait(router, request.team, minTokens) { nowMs ->
            modules[router].ledger.reserveUpTo(id, budgetIdOf(request.team), minTokens, request.worstCaseTokens, nowMs)
        }
    }

    private suspend fun extend(
        router: Int,
        id: RequestId,
        request: TraceRequest,
        reservedTokens: Long,
    ): Long? {
        val extensionTokens = minOf(EXTENSION_TOKENS, request.worstCaseTokens - reservedTokens)
        return reserveOrWait(router, request.team, extensionTokens) { nowMs -> modules[router].ledger.extend(id, extensionTokens, nowMs) }
    }

    /** Retries a refused reservation as the request path does: waits for tokens for up to [WAIT_MS] unless the budget is exhausted. */
    private suspend fun reserveOrWait(
        router: Int,
        team: Int,
        tokens: Long,
        reserve: (nowMs: Long) -> ReservationOutcome,
    ): Long? {
        val deadlineMs = simulation.clock.monotonicMs() + WAIT_MS
        while (true) {
            val nowMs = simulation.clock.monotonicMs()
            when (val outcome = reserve(nowMs)) {
                is ReservationOutcome.Reserved -> return outcome.reservedTokens
                is ReservationOutcome.Refused -> if (outcome.refusal.reason == RefusalReason.BUDGET_EXHAUSTED) return null
            }
            if (!modules[router].maintenance.awaitTokens(budgetIdOf(team), tokens, deadlineMs - nowMs)) return null
        }
    }

    override fun kill(router: Int) {
        network.leave(identities[router].routerId)
        simulation.scope.launch {
            delay(VM_LIST_LAG_MS)
            vms.remove(identities[router])
        }
    }

    override fun setTableOutage(isDown: Boolean) {
        table.isAvailable = !isDown
        vms.isAvailable = !isDown
    }

    override fun setPartition(
        routers: List<Int>,
        isPartitioned: Boolean,
    ) {
        val partitionedIds = routers.map { identities[it].routerId }
        if (isPartitioned) network.partition(partitionedIds, identities.map { it.routerId } - partitionedIds.toSet()) else network.heal()
        for (router in routers) links[router].isPartitioned = isPartitioned
    }

    override suspend fun topUp(
        team: Int,
        topUpId: String,
        tokens: Long,
    ) {
        administration.topUp(budgetIdOf(team), topUpId, tokens)
    }

    /** Unallocated tokens in the table plus the unspent tokens in the grants of live routers. */
    override suspend fun availableTokens(team: Int): Long {
        val status = (administration.status(budgetIdOf(team)) as BudgetStatusResult.Found).status
        val liveIds = simulation.liveRouters.map { identities[it].routerId }.toSet()
        return status.unallocatedTokens +
            status.holders
                .filter { it.routerId in liveIds }
                .sumOf { it.grantedTokens + it.receivedTokens - it.sentTokens - it.settledTokens }
    }

    override suspend fun billCounts(): BillCounts {
        val written =
            (0 until Deployment.TEAMS).flatMap { team ->
                (administration.bills(budgetIdOf(team), limit = Int.MAX_VALUE - 1) as BillsResult.Page).bills.map { it.requestId }
            }
        return BillCounts(lost = (settledRequests.keys - written.toSet()).size, duplicate = written.size - written.toSet().size)
    }

    private fun identityOf(router: Int): RouterIdentity {
        val zone = ZoneId("zone-${simulation.deployment.zoneOf(router)}")
        return RouterIdentity(RouterId("router-$router"), VmId("vm-$router"), RegionId("region"), zone, incarnation = 1)
    }

    private fun budgetIdOf(team: Int) = BudgetId("budget-$team")

    private companion object {
        private const val STARTUP_MS = 2_000L
        private const val WAIT_MS = 2_000L
        private const val VM_LIST_LAG_MS = 30_000L
        private const val INITIAL_RESERVATION_TOKENS = 64
        private const val EXTENSION_TOKENS = 128L
        private val MODEL = BackendTarget.Model(ModelId("model"))
    }
}
