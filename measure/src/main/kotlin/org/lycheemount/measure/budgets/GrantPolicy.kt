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
 * The ledger of the product, one for each router.
 *
 * @property inSteps false reserves the worst case at once even when tokens run short, for comparison.
 */
internal class GrantPolicy(
    private val world: SimWorld,
    private val inSteps: Boolean = true,
) : BudgetPolicy {
    private val table = FakeTableService(world.clock)
    private val vms = FakeVmDirectory(world.clock)
    private val network = FakePeerNetwork(world.scope, latencyMs = 1, seed = world.deployment.seed)
    private val identities = List(world.deployment.routers, ::identityOf)
    private val links = identities.map { FakeTableLink(table, world.scope, random = Random(it.hashCode())) }
    private val modules: List<BudgetModule>
    private val administration: BudgetAdministration
    private val settled = HashMap<RequestId, Int>()

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
                    world.clock,
                    DiscardingEventLog,
                    random = Random(router),
                )
            }
    }

    override val tableWrites: Int get() = table.commitCount

    override suspend fun start(limits: List<Long>) {
        limits.forEachIndexed { team, tokens ->
            administration.create(budgetOf(team))
            administration.topUp(budgetOf(team), "start", tokens)
        }
        val budgets = limits.indices.map(::budgetOf).toSet()
        modules.forEachIndexed { router, module ->
            module.maintenance.prefetchGrants(budgets)
            module.maintenance.start(world.routerScope(router))
        }
        delay(START_MS)
    }

    override suspend fun serve(
        router: Int,
        request: SimRequest,
    ): ServedAs {
        val id = RequestId("request-${request.index}")
        var reserved = admit(router, id, request) ?: return ServedAs.REFUSED
        var generated = 0
        try {
            while (true) {
                val allowed = minOf(request.outputTokens.toLong(), reserved - request.promptTokens).toInt()
                delay((allowed - generated) * SimWorld.TOKEN_MS)
                generated = allowed
                if (generated == request.outputTokens) break
                reserved = extend(router, id, request, reserved) ?: break
            }
        } catch (death: CancellationException) {
            // The engine may have generated all that the dead router had reserved.
            world.usage.use(request.team, reserved)
            throw death
        }
        return settle(router, id, request, generated)
    }

    private fun settle(
        router: Int,
        id: RequestId,
        request: SimRequest,
        generated: Int,
    ): ServedAs {
        val charge = Charge(TeamId("team-${request.team}"), MODEL, request.promptTokens.toLong(), generated.toLong())
        modules[router].ledger.settle(id, charge, world.clock.monotonicMs())
        settled[id] = router
        world.usage.use(request.team, charge.totalTokens)
        return if (generated == request.outputTokens) ServedAs.COMPLETE else ServedAs.TRUNCATED
    }

    private suspend fun admit(
        router: Int,
        id: RequestId,
        request: SimRequest,
    ): Long? {
        val firstStep = (request.promptTokens + minOf(FIRST_STEP_TOKENS, request.maxOutputTokens)).toLong()
        val minimum = if (inSteps) firstStep else request.worstCaseTokens
        return withWait(router, request.team, minimum) { nowMs ->
            modules[router].ledger.reserveUpTo(id, budgetOf(request.team), minimum, request.worstCaseTokens, nowMs)
        }
    }

    private suspend fun extend(
        router: Int,
        id: RequestId,
        request: SimRequest,
        reserved: Long,
    ): Long? {
        val step = minOf(STEP_TOKENS, request.worstCaseTokens - reserved)
        return withWait(router, request.team, step) { nowMs -> modules[router].ledger.extend(id, step, nowMs) }
    }

    /** What the request path does with a refusal: it waits for tokens for a short time unless the budget is exhausted. */
    private suspend fun withWait(
        router: Int,
        team: Int,
        tokens: Long,
        reserve: (nowMs: Long) -> ReservationOutcome,
    ): Long? {
        val untilMs = world.clock.monotonicMs() + WAIT_MS
        while (true) {
            val nowMs = world.clock.monotonicMs()
            when (val outcome = reserve(nowMs)) {
                is ReservationOutcome.Reserved -> return outcome.reservedTokens
                is ReservationOutcome.Refused -> if (outcome.refusal.reason == RefusalReason.BUDGET_EXHAUSTED) return null
            }
            if (!modules[router].maintenance.awaitTokens(budgetOf(team), tokens, untilMs - nowMs)) return null
        }
    }

    override fun kill(router: Int) {
        network.leave(identities[router].routerId)
        world.scope.launch {
            delay(VM_LIST_LAG_MS)
            vms.remove(identities[router])
        }
    }

    override fun setOutage(down: Boolean) {
        table.isAvailable = !down
        vms.isAvailable = !down
    }

    override fun setPartition(
        routers: List<Int>,
        cut: Boolean,
    ) {
        val inside = routers.map { identities[it].routerId }
        if (cut) network.partition(inside, identities.map { it.routerId } - inside.toSet()) else network.heal()
        for (router in routers) links[router].isPartitioned = cut
    }

    override suspend fun topUp(
        team: Int,
        topUpId: String,
        tokens: Long,
    ) {
        administration.topUp(budgetOf(team), topUpId, tokens)
    }

    /** What the table still has and what live grants hold, less what was spent. */
    override suspend fun availableTokens(team: Int): Long {
        val status = (administration.status(budgetOf(team)) as BudgetStatusResult.Found).status
        val live = world.liveRouters.map { identities[it].routerId }.toSet()
        return status.unallocatedTokens +
            status.holders.filter { it.routerId in live }.sumOf { it.grantedTokens + it.receivedTokens - it.sentTokens - it.settledTokens }
    }

    override suspend fun billCounts(): BillCounts {
        val written =
            (0 until Deployment.TEAMS).flatMap { team ->
                (administration.bills(budgetOf(team), limit = Int.MAX_VALUE - 1) as BillsResult.Page).bills.map { it.requestId }
            }
        return BillCounts(lost = (settled.keys - written.toSet()).size, doubled = written.size - written.toSet().size)
    }

    private fun identityOf(router: Int): RouterIdentity {
        val zone = ZoneId("zone-${world.deployment.zoneOf(router)}")
        return RouterIdentity(RouterId("router-$router"), VmId("vm-$router"), RegionId("region"), zone, incarnation = 1)
    }

    private fun budgetOf(team: Int) = BudgetId("budget-$team")

    private companion object {
        private const val START_MS = 2_000L
        private const val WAIT_MS = 2_000L
        private const val VM_LIST_LAG_MS = 30_000L
        private const val FIRST_STEP_TOKENS = 64
        private const val STEP_TOKENS = 128L
        private val MODEL = BackendTarget.Model(ModelId("model"))
    }
}
