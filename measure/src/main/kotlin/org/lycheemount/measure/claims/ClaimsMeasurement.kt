package org.lycheemount.measure.claims

import org.lycheemount.measure.Measurement

/** What each way of keeping claims refuses in a table outage, a zone partition and after a router's death, in virtual time. */
class ClaimsMeasurement : Measurement {
    override val name: String = "claims"

    override fun run(): List<Pair<String, Any>> =
        ClaimsScenario.entries.flatMap { scenario ->
            ClaimsApproach.entries.flatMap { approach ->
                val figures = ClaimsRun(scenario, approach).run()
                val prefix = (if (approach == ClaimsApproach.PAIR) "" else "baseline_${approach.label}_") + scenario.label
                listOf(
                    "${prefix}_refused_permille" to figures.refusedPermille(),
                    "${prefix}_retries_unknown_permille" to figures.unrecognizedRetriesPermille(),
                    "${prefix}_doubled" to figures.duplicateRuns,
                    "${prefix}_first_claims" to figures.firstClaims,
                )
            }
        }
}

/** What goes wrong during a run. */
internal enum class ClaimsScenario(
    val label: String,
) {
    NORMAL("normal"),
    TABLE_OUTAGE("table_outage_1h"),
    ZONE_PARTITION("zone_partition_1h"),
    ROUTER_CRASH("router_death"),
}

/** Ways of keeping claims. */
internal enum class ClaimsApproach(
    val label: String,
) {
    /** The product's code. */
    PAIR("pair"),

    /** A table transaction for each claim and each outcome. */
    TABLE("table"),

    /** Each partition leased to one router for 15 s, which decides alone. */
    LEASE("lease"),

    /** The router that comes first for the key among those in the VM list decides alone. */
    KEY_OWNER("key_owner"),
}

/** Counts during the fault. */
internal class ClaimsFigures {
    var firstClaims = 0
    var refused = 0
    var retries = 0
    var unrecognizedRetries = 0
    var duplicateRuns = 0

    fun refusedPermille(): Int = if (firstClaims == 0) 0 else refused * PERMILLE / firstClaims

    fun unrecognizedRetriesPermille(): Int = if (retries == 0) 0 else unrecognizedRetries * PERMILLE / retries

    private companion object {
        private const val PERMILLE = 1_000
    }
}
