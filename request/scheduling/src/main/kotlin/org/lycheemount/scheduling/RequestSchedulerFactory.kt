package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Creates the scheduler of one router.
 *
 * @param zoneId zone of the router; backend servers in it are preferred when all else is equal.
 * @param seed seed of the random choices; routers must use different seeds so that their choices differ.
 * @param initialSpeeds speeds of the backend servers that are assumed until service has been observed.
 * @param fullEngineSlowdown part of its time by which a request to a model takes longer on a full server than on an idle one.
 *   Engines that batch well slow down little, and requests are then better sent to servers that hold parts of their prompts.
 */
fun createRequestScheduler(
    zoneId: ZoneId,
    seed: Long,
    initialSpeeds: InitialSpeeds = InitialSpeeds(),
    fullEngineSlowdown: Double = SelectorWeights().modelLoadPenalty,
): RequestScheduler =
    DefaultRequestScheduler(zoneId, seed, SelectorWeights(modelLoadPenalty = fullEngineSlowdown), initialSpeeds = initialSpeeds)
