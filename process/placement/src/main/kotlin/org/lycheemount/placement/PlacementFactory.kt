package org.lycheemount.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.lycheemount.common.Clock
import org.lycheemount.common.EventLog
import org.lycheemount.common.ModelId
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.TableService
import org.lycheemount.platform.WeightStore
import kotlin.random.Random

/** Dependencies of placement. */
class PlacementDependencies(
    val identity: RouterIdentity,
    val table: TableService,
    val weightStore: WeightStore,
    val fleet: EngineFleet,
    val clock: Clock,
    val eventLog: EventLog,
    val random: Random,
)

/**
 * Starts reconciling [modelId] in this router's zone with [goal]. Returns the job, which ends with [scope].
 *
 * Every router of the zone runs this job. The lease in the table ensures that only one of them sends commands.
 */
fun launchPlacement(
    modelId: ModelId,
    dependencies: PlacementDependencies,
    scope: CoroutineScope,
    goal: suspend () -> PlacementGoal?,
): Job {
    val identity = dependencies.identity
    var transactionCount = 0L
    val lease =
        PlacementLease(
            key = "placement/lease/${identity.zoneId.value}/${modelId.value}",
            routerId = identity.routerId,
            table = dependencies.table,
            clock = dependencies.clock,
            nextTransactionId = { "placement-${identity.routerId.value}-${identity.incarnation}-${modelId.value}-${++transactionCount}" },
        )
    val controller =
        with(dependencies) { PlacementController(identity.zoneId, lease, fleet, weightStore, clock, eventLog) }
    return PlacementLoop(controller, goal, dependencies.random).launchIn(scope)
}
