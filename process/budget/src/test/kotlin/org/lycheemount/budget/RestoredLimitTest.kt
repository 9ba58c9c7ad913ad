package org.lycheemount.budget

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import org.lycheemount.platform.CommitOutcome
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.TableService
import org.lycheemount.platform.TableSnapshot
import org.lycheemount.platform.TableTransaction
import org.lycheemount.testing.FakeClock
import org.lycheemount.testing.FakeTableService
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Limits of budgets in a table that comes back from an older copy. */
class RestoredLimitTest {
    private val table = FakeTableService(FakeClock(), firstEra = null)
    private val eras =
        object : StoreEras {
            override val current = MutableStateFlow<StoreEra?>(null)
        }

    /** Called after the table has applied a transaction, before its response arrives. */
    private var duringCommit: () -> Unit = {}
    private val link =
        object : TableService by table {
            override suspend fun commit(transaction: TableTransaction): TableResult<CommitOutcome> {
                val result = table.commit(transaction)
                duringCommit()
                eras.current.value = table.era
                return result
            }

            override suspend fun read(keys: List<String>): TableResult<TableSnapshot> =
                table.read(keys).also {
                    eras.current.value =
                        table.era
                }
        }
    private var transactionCount = 0
    private val writer = createBudgetLimitWriter(link, eras) { "limits-${transactionCount++}" }

    private fun beginFirstEra() {
        table.beginEra()
        eras.current.value = table.era
    }

    private suspend fun row(): BudgetRow {
        val read = assertIs<TableResult.Response<TableSnapshot>>(table.read(listOf(budgetKey(BUDGET))))
        return decodeRow(
            read.value.rows
                .single()
                .value,
        )
    }

    private suspend fun setLimit(
        tokens: Long,
        sequence: Long,
    ) = assertIs<BudgetChange.Applied>(writer.setLimits(mapOf(BUDGET to tokens), sequence))

    @Nested
    inner class `a budget that was created after the copy was made` {
        @Test
        fun `is created with its tokens set aside, guarding against tokens that routers hold and that are granted a second time`() =
            runTest {
                beginFirstEra()
                val copy = table.copy()
                setLimit(1_000, sequence = 1)
                assertEquals(BudgetRow(1_000, 1_000, limitSequence = 1, era = 1), row())
                table.comeBackFrom(copy)
                eras.current.value = table.era
                setLimit(1_000, sequence = 1)
                assertEquals(1_000, row().setAsideTokens)
                assertEquals(0, row().unallocatedTokens)
            }
    }

    @Nested
    inner class `a limit that is raised` {
        @Test
        fun `sets the added tokens aside while a restored budget is not settled`() =
            runTest {
                beginFirstEra()
                setLimit(1_000, sequence = 1)
                val opened = writeRow(budgetKey(BUDGET), row().openedIn(2))
                table.commit(TableTransaction("open", emptyList(), listOf(opened)))
                setLimit(1_500, sequence = 2)
                assertEquals(1_500, row().setAsideTokens)
                assertEquals(0, row().unallocatedTokens)
            }

        @Test
        fun `is written again if the table comes back before the response, guarding against a limit that is taken to be in force`() =
            runTest {
                beginFirstEra()
                setLimit(1_000, sequence = 1)
                val copy = table.copy()
                duringCommit = {
                    table.comeBackFrom(copy)
                    duringCommit = {}
                }
                setLimit(1_500, sequence = 2)
                assertEquals(1_500, row().limitTokens)
                assertTrue(row().limitSequence == 2L)
            }
    }
}
