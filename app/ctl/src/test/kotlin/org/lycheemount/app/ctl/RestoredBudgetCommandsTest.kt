package org.lycheemount.app.ctl

import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.EndedRouter
import org.lycheemount.budget.MissingRouter
import org.lycheemount.budget.MissingRouterState
import org.lycheemount.budget.RestoredBudget
import org.lycheemount.budget.RestoredBudgetAdministration
import org.lycheemount.budget.RestoredBudgetsResult
import org.lycheemount.budget.TokenRelease
import org.lycheemount.common.BudgetId
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class RestoredBudgetCommandsTest {
    private val out = StringBuilder()
    private val err = StringBuilder()
    private val commands = Commands(AdminClient(createHttpClient(null), "http://127.0.0.1:1", "key"), Output(OutputFormat.TEXT, out, err))
    private val budgets = FakeRestoredBudgets()

    private class FakeRestoredBudgets : RestoredBudgetAdministration {
        val releases = mutableListOf<Triple<BudgetId, Set<EndedRouter>, Long>>()
        var outcome: TokenRelease = TokenRelease.Released(700)
        var result: RestoredBudgetsResult =
            RestoredBudgetsResult.Found(
                listOf(RestoredBudget(BudgetId("claims"), limitTokens = 1_000, setAsideTokens = 700, missingGrantTokens = 100)),
                listOf(
                    MissingRouter(
                        RouterIdentity(RouterId("r1"), VmId("vm-1"), RegionId("region"), ZoneId("zone"), incarnation = 17),
                        MissingRouterState.REPLACED,
                    ),
                ),
                hasWitness = true,
            )

        override suspend fun status() = result

        override suspend fun release(
            budgetId: BudgetId,
            endedRouters: Set<EndedRouter>,
            keptTokens: Long,
        ): TokenRelease {
            releases += Triple(budgetId, endedRouters, keptTokens)
            return outcome
        }
    }

    @Nested
    inner class `restored-budgets` {
        @Test
        fun `names the tokens that nobody can use and the router that has not reported`() =
            runTest {
                assertEquals(ExitCode.OK, commands.showRestoredBudgets(budgets))

                assertContains(out, "budgets[0].setAsideTokens: 700")
                assertContains(out, "missingRouters[0].router: r1/17")
                assertContains(out, "missingRouters[0].state: replaced")
            }

        @Test
        fun `ends as unavailable while the store does not respond`() =
            runTest {
                budgets.result = RestoredBudgetsResult.Unavailable("the table did not respond")

                assertEquals(ExitCode.UNAVAILABLE, commands.showRestoredBudgets(budgets))
            }
    }

    @Nested
    inner class `release-tokens` {
        @Test
        fun `releases tokens of the budget for the named routers`() =
            runTest {
                assertEquals(ExitCode.OK, commands.releaseTokens(budgets, "claims", listOf("r1/17"), keptTokens = 50))

                assertEquals(listOf(Triple(BudgetId("claims"), setOf(EndedRouter("r1", 17)), 50L)), budgets.releases)
                assertContains(out, "releasedTokens: 700")
            }

        @Test
        fun `is wrong usage with a router of another form, and calls nothing`() =
            runTest {
                assertEquals(ExitCode.USAGE, commands.releaseTokens(budgets, "claims", listOf("r1"), keptTokens = 0))

                assertEquals(emptyList(), budgets.releases)
            }

        @Test
        fun `distinguishes refused, conflict and unavailable`() =
            runTest {
                suspend fun exitCodeOf(outcome: TokenRelease): ExitCode {
                    budgets.outcome = outcome
                    return commands.releaseTokens(budgets, "claims", listOf("r1/17"), keptTokens = 0)
                }

                assertEquals(ExitCode.CONFLICT, exitCodeOf(TokenRelease.Refused("the VM accepts connections")))
                assertContains(err, "nothing was changed: the VM accepts connections")
                assertEquals(ExitCode.REFUSED, exitCodeOf(TokenRelease.Failed(BudgetChange.NotFound)))
                assertEquals(ExitCode.REFUSED, exitCodeOf(TokenRelease.Failed(BudgetChange.Invalid("keptTokens", "0 or more"))))
                assertEquals(ExitCode.UNAVAILABLE, exitCodeOf(TokenRelease.Failed(BudgetChange.Unknown("no response"))))
            }
    }
}
