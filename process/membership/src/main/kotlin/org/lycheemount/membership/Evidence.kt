package org.lycheemount.membership

/** What this router knows of another router process. */
enum class Evidence {
    /** An authenticated message came within the last [MembershipSettings.heartbeatTimeoutMs]. */
    HEARD_RECENTLY,

    /** Listed, but no message came for a while: dead, paused, partitioned, or no neighbour of this router. */
    SILENT,

    /** The VM list announces its shutdown. */
    LEAVING,

    /** Its VM was in the list and is not any more; it never returns under this VM id. */
    GONE,

    /** A newer incarnation, or another VM with its router id or address, has been seen. */
    REPLACED,
}

/**
 * A use of the membership, with the evidence that it requires.
 *
 * @property acceptedEvidence levels that are sufficient.
 */
enum class EvidenceUse(
    val acceptedEvidence: Set<Evidence>,
) {
    /** Forwarding work that a caller waits for. */
    FORWARDING(setOf(Evidence.HEARD_RECENTLY)),

    /** Pushing state that a dead receiver loses without harm. */
    PUSH(setOf(Evidence.HEARD_RECENTLY, Evidence.SILENT, Evidence.LEAVING)),

    /** Taking back what the process owned. Silence is never enough, since a paused process goes on later. */
    RECLAIM(setOf(Evidence.GONE)),
}
