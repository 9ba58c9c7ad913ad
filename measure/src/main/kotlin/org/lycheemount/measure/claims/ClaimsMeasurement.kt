package org.lycheemount.measure.claims

import org.lycheemount.measure.Measurement

/** Measures refused and duplicate claims of each approach in a table outage, a zone partition and after a router crash, in virtual time. */
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

/** Fault injected during a run. */
internal enum class ClaimsScenario(
    val label: String,
) {
    NORMAL("normal"),
    TABLE_OUTAGE("table_outage_1h"),
    ZONE_PARTITION("zone_partition_1h"),
    ROUTER_CRASH("router_death"),
}

/** Ways to decide claims: the product and the baselines. */
internal enum class ClaimsApproach(
    val label: String,
) {
    /** The product's claim registry, which stores each claim in a pair of routers. */
    PAIR("pair"),

    /** A table transaction for each claim and each outcome. */
    TABLE("table"),

    /** One router decides alone for a partition while it holds a lease of 15 s. */
    LEASE("lease"),

    /** The router in the VM list that ranks first for the partition of the key decides alone. */
    KEY_OWNER("key_owner"),
}

/** Counts of claims made during the fault; [duplicateRuns] covers the whole run. */
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
