package org.lycheemount.budget

/**
 * Creates the options of a gateway.
 *
 * Grants must last through partitions from the store and from the other routers, which take seconds. The ceiling limits the
 * tokens that are lost when a process is killed. It grows over time, so a restarted process can reclaim the rest. VMs are back
 * 4 s after a power loss, but they may have been without the store before it.
 */
fun createGatewayBudgetOptions(): BudgetOptions =
    BudgetOptions(
        expectedOutageMs = 8_000,
        outageGraceMs = 4_500,
        driftMarginMs = 300,
        flushIntervalMs = 500,
        fleetFlushesPerSecond = 75,
        tickIntervalMs = 100,
        billsPerTransaction = 30,
        rowsPerTransaction = 15,
        retryDelayMs = 200,
        retryDelayMaxMs = 500,
        targetFreeReservations = 1.0,
        ceilingReservations = 3.0,
        sizesByTypicalReservation = true,
        ceilingSpendFactor = 2.0,
        ceilingInitialSpanMs = 2_000,
        ceilingReleaseMs = 60_000,
        ceilingUnmeasuredShare = 0.25,
        ceilingBudgetShare = 0.2,
        excessReturnDelayMs = 2_000,
        rateWindowMs = 5_000,
        vmListIntervalMs = 60_000,
        holdsEqualShare = true,
        demandShare = 0.5,
        unavailableRetryMs = 50,
    )
