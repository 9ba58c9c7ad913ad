package org.lycheemount.membership

/** Evidence about the state of another router process. */
enum class Evidence {
    /** An authenticated message arrived within the last [MembershipSettings.heartbeatTimeoutMs]. */
    HEARD_RECENTLY,

    /** No recent message: the process has failed, is paused, is partitioned, or is not a neighbour of this router. */
    SILENT,

    /** The VM list announces its shutdown. */
    LEAVING,

    /** Its VM has left the VM list. It never returns under this VM id. */
    GONE,

    /** A newer incarnation, or another VM with its router id or address, has been seen. */
    REPLACED,
}

/**
 * Use of the membership, with the evidence that it requires.
 *
 * @property acceptedEvidence evidence that is sufficient for the use.
 */
enum class EvidenceUse(
    val acceptedEvidence: Set<Evidence>,
) {
    /** Forwarding of requests that a caller waits for. */
    FORWARDING(setOf(Evidence.HEARD_RECENTLY)),

    /** Push of state that may be lost if the receiver has failed. */
    PUSH(setOf(Evidence.HEARD_RECENTLY, Evidence.SILENT, Evidence.LEAVING)),

    /** Reclaiming what the process owned. Silence is not sufficient, because a paused process may resume. */
    RECLAIM(setOf(Evidence.GONE)),
}
