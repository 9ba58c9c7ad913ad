package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Creates the scheduler of one router.
 *
 * @param zoneId zone of the router; backend servers in it are preferred when all else is equal.
 * @param seed seed of the random number generator; routers must use different seeds so that their choices differ.
 * @param initialSpeeds speeds of the backend servers that are assumed until the first requests have completed.
 * @param fullEngineSlowdown relative increase of the service time of a model request on a full server over an idle one.
 *   Engines that batch well slow down little, so a cached prefix then matters more than the load.
 */
fun createRequestScheduler(
    zoneId: ZoneId,
    seed: Long,
    initialSpeeds: InitialSpeeds = InitialSpeeds(),
    fullEngineSlowdown: Double = SelectorWeights().modelLoadPenalty,
): RequestScheduler =
    DefaultRequestScheduler(zoneId, seed, SelectorWeights(modelLoadPenalty = fullEngineSlowdown), initialSpeeds = initialSpeeds)
