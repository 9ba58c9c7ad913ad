package org.lycheemount.budget

import org.lycheemount.common.RouterIdentity

/**
 * Reports that are missing after the store came back from an older copy.
 *
 * @property routers processes that may hold tokens of an earlier era and have not reported what they hold.
 * @property hasWitness whether a router that was running when the copy was made has reported. Without one, there may be further processes.
 */
internal class MissingReports(
    val routers: Set<RouterIdentity>,
    val hasWitness: Boolean,
) {
    /** Whether all tokens that routers hold have been claimed. */
    val isNone: Boolean get() = hasWitness && routers.isEmpty()
}

/** Returns the reports that are missing in [era], by the rows of all [grants] and all reports in [holdings]. */
internal fun findMissingReports(
    grants: List<GrantRow>,
    holdings: List<HoldingsRow>,
    era: Long,
): MissingReports {
    val reports = holdings.filter { it.era == era }
    val holders = grants.filter { !it.closed && it.era != era }.map { it.holder }
    val expected = (holders + reports.flatMap { it.peers }).toSet()
    val missing = expected.filterNotTo(LinkedHashSet()) { router -> reports.any { it.accountsFor(router) } }
    return MissingReports(missing, hasWitness = reports.any { it.isWitness })
}

private fun HoldingsRow.accountsFor(other: RouterIdentity): Boolean =
    router == other || (router.isSuccessorOf(other) && standsForPredecessors)

/** Whether this is a later process on the VM of [other], which shows that [other] has ended. */
internal fun RouterIdentity.isSuccessorOf(other: RouterIdentity): Boolean = vmId == other.vmId && incarnation > other.incarnation
