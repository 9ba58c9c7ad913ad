package org.lycheemount.measure.routing

internal const val SECOND_US = 1_000_000L

/** Fault that is injected into the fleet during a run. */
internal enum class Fault {
    NONE,
    ZONE_LOSS,
    SLOW_SERVER,
    LEAVING_SERVER,
    STALE_REPORTS,
    BURST,
}

/** Load and fault of one run. */
internal data class Scenario(
    val name: String,
    val loadFactor: Double,
    val fault: Fault = Fault.NONE,
) {
    val faultStartUs: Long get() = FAULT_START_US
    val faultEndUs: Long get() = FAULT_END_US

    /** Times shared by all scenarios. */
    companion object {
        /** Requests that arrive before this time are not counted. */
        const val WARM_UP_US: Long = 60 * SECOND_US

        /** Arrivals end here; the run goes on until all requests have ended. */
        const val ARRIVALS_END_US: Long = 420 * SECOND_US
        private const val FAULT_START_US = 150 * SECOND_US
        private const val FAULT_END_US = 210 * SECOND_US
    }
}

internal val scenarios =
    listOf(
        Scenario("load_0.5", 0.5),
        Scenario("load_0.8", 0.8),
        Scenario("load_1.0", 1.0),
        Scenario("load_1.3", 1.3),
        Scenario("zone_loss", 0.8, Fault.ZONE_LOSS),
        Scenario("slow_server", 0.8, Fault.SLOW_SERVER),
        Scenario("leaving_server", 0.8, Fault.LEAVING_SERVER),
        Scenario("stale_reports", 0.8, Fault.STALE_REPORTS),
        Scenario("burst", 0.8, Fault.BURST),
    )
