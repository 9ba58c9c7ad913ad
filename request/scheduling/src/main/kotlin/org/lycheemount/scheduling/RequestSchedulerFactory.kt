package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/**
 * Creates the scheduler of one router.
 *
 * @param zoneId zone of the router; backend servers in it are preferred when all else is equal.
 * @param seed seed of the random choices; routers must use different seeds so that their choices differ.
 * @param initialSpeeds speeds of the backend servers that are assumed until service has been observed.
 */
fun createRequestScheduler(
    zoneId: ZoneId,
    seed: Long,
    initialSpeeds: InitialSpeeds = InitialSpeeds(),
): RequestScheduler = DefaultRequestScheduler(zoneId, seed, initialSpeeds = initialSpeeds)
