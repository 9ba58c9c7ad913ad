package org.lycheemount.origins

/**
 * What has happened since the start.
 *
 * @property openVersions versions on which streams may begin, by service.
 * @property originsWritten streams whose origins are in the table.
 * @property originsWaiting streams whose origins are still to be written.
 * @property copiesKept streams of other routers whose origins this router keeps.
 * @property failedCalls calls to the table that did not succeed.
 * @property lookups resumptions by outcome.
 */
data class OriginStatistics(
    val openVersions: Map<String, Int>,
    val originsWritten: Long,
    val originsWaiting: Int,
    val copiesKept: Int,
    val failedCalls: Long,
    val lookups: Map<LookupOutcome, Long>,
)

/** What was found out about the origin of a stream. */
enum class LookupOutcome {
    /** This router began the stream, or had read its record before. */
    REMEMBERED,

    /** The record of the stream was read from the table. */
    RECORDED,

    /** The stream can have begun on one version only. */
    SINGLE_VERSION,

    /** Servers state no versions. */
    ANY_VERSION,

    /** Nothing tells on which of several versions the stream began. */
    UNKNOWN,

    /** The table did not respond in time. */
    NOT_READ,
}
