package org.lycheemount.app.router.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetLimitWriter
import org.lycheemount.budget.createBudgetLedgerModule
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.TeamId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.Team
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.testing.FakeEventLog
import org.lycheemount.testing.FakePeerNetwork
import org.lycheemount.testing.FakeTableService
import org.lycheemount.testing.FakeVmDirectory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

@OptIn(ExperimentalCoroutinesApi::class)
class BudgetLimitUpdaterTest {
    private val eras =
        object : StoreEras {
            override val current = MutableStateFlow<StoreEra?>(null)
        }
    private val written = mutableListOf<Pair<Map<BudgetId, Long>, Long>>()

    /** Called before a write returns. */
    private var duringWrite: () -> Unit = {}
    private val writer =
        object : BudgetLimitWriter {
            override suspend fun setLimits(
                limits: Map<BudgetId, Long>,
                sequence: Long,
            ): BudgetChange {
                written += limits to sequence
                duringWrite()
                return BudgetChange.Applied(limits.values.sum(), repeated = false)
            }
        }
    private var snapshot = ConfigurationSnapshot()

    private fun TestScope.startUpdater(): BudgetLimitUpdater {
        val clock = virtualClock()
        val self = RouterIdentity(RouterId("r"), VmId("vm"), RegionId("region"), ZoneId("zone"), incarnation = 1)
        val budgets =
            createBudgetLedgerModule(
                FakeTableService(clock),
                FakeVmDirectory(clock),
                FakePeerNetwork(backgroundScope).join(self),
                clock,
                FakeEventLog(),
            )
        return BudgetLimitUpdater(writer, budgets.maintenance, { snapshot }, eras, FakeEventLog()).also { it.start(backgroundScope) }
    }

    private fun TestScope.enterEra(era: Long?) {
        eras.current.value = era?.let(::StoreEra)
        runCurrent()
    }

    private fun TestScope.configure(
        updater: BudgetLimitUpdater,
        sequence: Long,
        tokens: Long,
    ) {
        snapshot = ConfigurationSnapshot(sequence, mapOf(TEAM to Team(TEAM, BUDGET, prepaidTokens = tokens)))
        updater.onConfigurationChanged()
        runCurrent()
    }

    @Nested
    inner class `a store that comes back from an older copy` {
        @Test
        fun `gets the limits again, guarding against a raised prepay that is lost with the rows of the lost time`() =
            runTest {
                val updater = startUpdater()
                enterEra(1)
                configure(updater, sequence = 4, tokens = 100)
                configure(updater, sequence = 7, tokens = 900)
                written.clear()
                enterEra(2)
                assertEquals(listOf(mapOf(BUDGET to 900L) to 7L), written)
            }

        @Test
        fun `gets the limits again when it comes back while they are written`() =
            runTest {
                val updater = startUpdater()
                enterEra(1)
                duringWrite = {
                    eras.current.value = StoreEra(2)
                    duringWrite = {}
                }
                configure(updater, sequence = 4, tokens = 100)
                assertEquals(listOf(mapOf(BUDGET to 100L) to 4L, mapOf(BUDGET to 100L) to 4L), written)
            }

        @Test
        fun `gets the limits once for each return, also after a missed one`() =
            runTest {
                val updater = startUpdater()
                enterEra(1)
                configure(updater, sequence = 4, tokens = 100)
                enterEra(2)
                enterEra(5)
                assertEquals(3, written.size)
            }
    }

    @Nested
    inner class `a store without a change of its era` {
        @Test
        fun `gets each limit once`() =
            runTest {
                val updater = startUpdater()
                configure(updater, sequence = 4, tokens = 100)
                configure(updater, sequence = 5, tokens = 100)
                assertEquals(1, written.size)
            }

        @Test
        fun `gets nothing and is not taken to have the limits before a configuration is known`() =
            runTest {
                val updater = startUpdater()
                enterEra(1)
                enterEra(2)
                assertEquals(emptyList(), written)
                assertFalse(updater.isApplied)
            }
    }

    private companion object {
        private val TEAM = TeamId("team")
        private val BUDGET = BudgetId("budget")
    }
}
