package org.lycheemount.standin.check

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.lycheemount.platform.http.createPlatformClients
import java.io.File

/**
 * Runs `check --deployment DIR [--once]`: waits until every router of the deployment is ready and, with `--once`,
 * sends sample requests and verifies responses, bills and the budget. Returns the exit status.
 */
internal fun runCheck(arguments: List<String>): Int {
    val directory = arguments.getOrNull(1)?.let(::File)
    val once = arguments.getOrNull(2) == "--once"
    if (arguments.firstOrNull() != "--deployment" || directory == null || arguments.size > (if (once) 3 else 2)) {
        System.err.println("usage: standin check --deployment DIR [--once]")
        return STATUS_USAGE
    }
    return runBlocking { CheckClient().use { check(Deployment(directory), it, once) } }
}

private suspend fun check(
    deployment: Deployment,
    client: CheckClient,
    once: Boolean,
): Int {
    if (!awaitReady(deployment, client)) return STATUS_FAILED
    if (!once) return STATUS_OK
    val report = CheckReport()
    val team =
        deployment.configuration.teams.values
            .maxBy { it.limits.requestsPerSecond }
    val samples = SampleRequests(deployment, client, report, team.teamId.value)
    samples.sendAll()
    compareBills(deployment, report, team.budgetId.value, samples.billedTokens)
    report.show(if (report.succeeded) "all checks passed" else "some checks failed")
    return if (report.succeeded) STATUS_OK else STATUS_FAILED
}

private suspend fun awaitReady(
    deployment: Deployment,
    client: CheckClient,
): Boolean {
    var waiting = deployment.routerUrls
    repeat(READY_ATTEMPTS) {
        waiting = waiting.filter { client.send("GET", "$it/health/ready")?.status != STATUS_CODE_OK }
        if (waiting.isEmpty()) return true
        delay(READY_INTERVAL_MS)
    }
    for (url in waiting) System.err.println("event=router_not_ready url=$url response=\"${client.send("GET", "$url/health/ready")?.body}\"")
    return false
}

/** Bills are written asynchronously after the responses, so they are polled until complete or until the timeout. */
private suspend fun compareBills(
    deployment: Deployment,
    report: CheckReport,
    budget: String,
    expected: Map<String, Long>,
) {
    val base = deployment.platformUrl
    createPlatformClients("$base/table", "$base/objects", "$base/vms", "$base/weights", TABLE_TIMEOUT_MS).use { clients ->
        val view = TableView(clients.table)
        var attempts = 0
        while (attempts++ < BILL_ATTEMPTS && !areBillsSettled(view, budget, expected)) delay(BILL_INTERVAL_MS)
        report.show("bills and budget of $budget")
        report.compare("tokens by request id", expected.toSortedMap().toString(), view.bills(budget).toSortedMap().toString())
        compareBudget(report, view.budget(budget), expected.values.sum())
    }
}

private suspend fun areBillsSettled(
    view: TableView,
    budget: String,
    expected: Map<String, Long>,
): Boolean = view.bills(budget).keys.containsAll(expected.keys) && view.budget(budget)?.settledTokens == expected.values.sum()

private fun compareBudget(
    report: CheckReport,
    totals: BudgetTotals?,
    billedTokens: Long,
) {
    report.compare("tokens charged to the budget", billedTokens, totals?.run { settledTokens + closedTokens })
    val accounted = totals?.run { unallocatedTokens + closedTokens + transferTokens + grantedTokens }
    report.compare("limit of the budget as the sum of its parts", totals?.limitTokens, accounted)
}

private const val STATUS_OK = 0
private const val STATUS_FAILED = 1
private const val STATUS_USAGE = 2
private const val STATUS_CODE_OK = 200
private const val READY_ATTEMPTS = 300
private const val READY_INTERVAL_MS = 200L
private const val BILL_ATTEMPTS = 100
private const val BILL_INTERVAL_MS = 200L
private const val TABLE_TIMEOUT_MS = 2_000L
