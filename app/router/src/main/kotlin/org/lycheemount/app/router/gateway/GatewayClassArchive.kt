package org.lycheemount.app.router.gateway

import kotlinx.coroutines.runBlocking
import org.lycheemount.common.RegionId
import org.lycheemount.common.RouterId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import org.lycheemount.settings.GatewaySettings
import org.lycheemount.settings.RetryBudgetSettings

/**
 * Loads the classes of a gateway and returns, so that a JVM started with `-XX:ArchiveClassesAtExit` writes them to a class data
 * sharing archive. A router that starts with the archive is ready sooner.
 */
internal fun loadGatewayClasses() =
    runBlocking {
        // Nothing listens at this address, so calls to the store fail. Their classes are loaded nevertheless.
        val unreachableAddress = "127.0.0.1:9"
        val settings =
            GatewaySettings(
                RouterId("archive"),
                VmId("archive"),
                RegionId("archive"),
                ZoneId("archive"),
                callersAddress = "127.0.0.1:0",
                readinessAddress = "127.0.0.1:0",
                metricsAddress = "127.0.0.1:0",
                peersAddress = "127.0.0.1:0",
                storeAddress = unreachableAddress,
                drainGraceS = 1.0,
                isFirstStart = true,
                retryBudget = RetryBudgetSettings(ratio = 0.2, slack = 0.0, windowS = 1.0),
            )
        val process = GatewayProcess(settings)
        process.start()
        process.awaitWarmUp()
    }
