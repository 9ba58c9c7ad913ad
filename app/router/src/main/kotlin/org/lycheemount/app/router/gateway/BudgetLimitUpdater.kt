package org.lycheemount.app.router.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lycheemount.budget.BudgetChange
import org.lycheemount.budget.BudgetLimitWriter
import org.lycheemount.budget.BudgetMaintenance
import org.lycheemount.common.BudgetId
import org.lycheemount.common.EventLog
import org.lycheemount.config.ConfigurationSnapshot
import org.lycheemount.config.ConfigurationView
import org.lycheemount.platform.StoreEra
import org.lycheemount.platform.StoreEras

/**
 * Writes the teams' prepaid tokens from the configuration into the budgets, and again when the store comes back from an older copy. Every
 * router tries to; the first write takes effect.
 */
internal class BudgetLimitUpdater(
    private val writer: BudgetLimitWriter,
    private val maintenance: BudgetMaintenance,
    private val configuration: ConfigurationView,
    private val eras: StoreEras,
    private val eventLog: EventLog,
) {
    private val configurationChanges = Channel<Unit>(Channel.CONFLATED)
    private var appliedLimits = emptyMap<BudgetId, Long>()

    /** Era of the store in which [appliedLimits] were written; a store that came back from an older copy may lack them. */
    @Volatile
    private var appliedEra: StoreEra? = null

    /** Whether the prepaid tokens of any configuration have been written to the table. */
    @Volatile
    var isApplied = false
        private set

    /** Schedules an update of the limits after a newer configuration has become active. */
    fun onConfigurationChanged() {
        configurationChanges.trySend(Unit)
    }

    fun start(scope: CoroutineScope) {
        scope.launch { for (change in configurationChanges) apply(configuration.current()) }
        scope.launch { eras.current.collect { if (isApplied && it != appliedEra) configurationChanges.trySend(Unit) } }
    }

    private suspend fun apply(snapshot: ConfigurationSnapshot) {
        val era = eras.current.value
        if (era != appliedEra) appliedLimits = emptyMap()
        val limits =
            snapshot.teams.values
                .mapNotNull { team -> team.prepaidTokens?.let { team.budgetId to it } }
                .toMap()
        val changedLimits = limits.filter { (budgetId, tokens) -> appliedLimits[budgetId] != tokens }
        for (batch in changedLimits.entries.chunked(MAX_BATCH_SIZE)) {
            if (!applyBatch(batch.associate { it.key to it.value }, snapshot.sequence)) return
        }
        appliedLimits = limits
        appliedEra = era
        isApplied = true
        if (eras.current.value != era) configurationChanges.trySend(Unit)
        if (changedLimits.isNotEmpty()) {
            maintenance.onLimitsChanged(changedLimits.keys)
            maintenance.prefetchGrants(changedLimits.keys)
        }
    }

    /** Retries until the limits are applied. Returns false if a newer configuration arrives first. */
    private suspend fun applyBatch(
        batch: Map<BudgetId, Long>,
        sequence: Long,
    ): Boolean {
        while (true) {
            val change = writer.setLimits(batch, sequence)
            eventLog.info("budget_limits", "version" to sequence, "budgets" to batch.size, "outcome" to change.javaClass.simpleName)
            if (change is BudgetChange.Applied) return true
            if (!configurationChanges.isEmpty) return false
            delay(RETRY_DELAY_MS)
        }
    }

    private companion object {
        // A transaction holds at most 100 entries, including checks and writes.
        private const val MAX_BATCH_SIZE = 30
        private const val RETRY_DELAY_MS = 300L
    }
}
