package org.lycheemount.app.ctl

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.lycheemount.budget.EndedRouter
import org.lycheemount.budget.MissingRouterState
import org.lycheemount.budget.RestoredBudgetAdministration
import org.lycheemount.budget.RestoredBudgetsResult
import org.lycheemount.budget.TokenRelease
import org.lycheemount.common.BudgetId
import org.lycheemount.membership.TableVmDirectory
import org.lycheemount.platform.adapter.testing.FakeStore
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Budgets in a store of an older copy, where one router has reported and one of its peers has not. */
class StoreAccessTest {
    private val store = FakeStore().apply { eraHeader = "2" }
    private val peerListener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    init {
        val reporter = identity("r1", incarnation = 7)
        val missing = identity("r2", incarnation = 8)
        put("holdings/r1/7", """{"router":$reporter,"era":2,"peers":[$missing],"isWitness":true,"standsForPredecessors":true}""")
        put("budget/claims", """{"limitTokens":1000,"unallocatedTokens":0,"closedTokens":600,"unbilledTokens":600,"era":2,$SET_ASIDE}""")
        put("grant/claims/g2", """{"grantId":"g2","budgetId":"claims","holder":$missing,"grantedTokens":400,"usedTokens":100,"era":1}""")
        val address = """"host":"127.0.0.1","peerPort":${peerListener.localPort}"""
        val vm = """{"vmId":"vm-r2","routerId":"r2","regionId":"region","zoneId":"zone",$address}"""
        store.put(TableVmDirectory.TABLE_NAME, "router-vm/vm-r2", vm)
    }

    @AfterEach
    fun close() {
        store.close()
        peerListener.close()
    }

    private fun put(
        key: String,
        json: String,
    ) = store.put("lycheemount", key, json)

    private fun identity(
        name: String,
        incarnation: Long,
    ) = """{"routerId":"$name","vmId":"vm-$name","regionId":"region","zoneId":"zone","incarnation":$incarnation}"""

    private suspend fun RestoredBudgetAdministration.release(keptTokens: Long) =
        release(BudgetId("claims"), setOf(EndedRouter("r2", 8)), keptTokens)

    @Nested
    inner class `a router whose VM accepts connections` {
        @Test
        fun `counts as reachable, guarding against a release of tokens that a live router holds`() =
            runBlocking {
                val budgets = openRestoredBudgets(store.address)

                val status = assertIs<RestoredBudgetsResult.Found>(budgets.status())

                assertEquals(listOf(MissingRouterState.REACHABLE), status.missingRouters.map { it.state })
                assertIs<TokenRelease.Refused>(budgets.release(keptTokens = 0))
                assertEquals(status, budgets.status())
            }
    }

    @Nested
    inner class `a router whose VM accepts no connection` {
        @Test
        fun `has its unused tokens and those set aside released, less what is kept`() =
            runBlocking {
                peerListener.close()
                val budgets = openRestoredBudgets(store.address)

                val status = assertIs<RestoredBudgetsResult.Found>(budgets.status())
                val release = budgets.release(keptTokens = 150)

                assertEquals(listOf(MissingRouterState.UNREACHABLE), status.missingRouters.map { it.state })
                assertEquals(listOf(600L to 400L), status.budgets.map { it.setAsideTokens to it.missingGrantTokens })
                assertEquals(TokenRelease.Released(600 + 300 - 150), release)
                assertEquals(emptyList(), assertIs<RestoredBudgetsResult.Found>(budgets.status()).budgets)
            }
    }

    private companion object {
        private const val SET_ASIDE = """"setAsideTokens":600,"settled":false"""
    }
}
