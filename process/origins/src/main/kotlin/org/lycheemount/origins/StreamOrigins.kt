package org.lycheemount.origins

import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion

/**
 * Tells on which software version of a service a stream began, so that it goes on only there. Thread-safe.
 *
 * What is not known for certain is [StreamOrigin.Unknown]: events of two versions in one stream are worse than a stream that begins anew.
 */
interface StreamOrigins {
    /** Versions of [serviceId] on which streams may begin, because their use can be found out later; null if any may be used. */
    fun usableVersions(serviceId: ServiceId): Set<SoftwareVersion>?

    /** The first event of a stream that a caller may resume has come from a server of [version]. */
    fun onStreamBegun(
        attemptId: CallerAttemptId,
        serviceId: ServiceId,
        version: SoftwareVersion,
    )

    /**
     * Finds the origin of a stream that a caller resumes at [serviceId].
     *
     * @param attemptId the attempt that brought the first event of the stream; null if the caller does not say.
     * @param patienceMs longest useful wait for the platform's store, in milliseconds.
     */
    suspend fun originOf(
        attemptId: CallerAttemptId?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): StreamOrigin
}

/** Where a stream began. */
sealed interface StreamOrigin {
    /** All events of the stream so far are from servers of [version]. */
    data class Known(
        val version: SoftwareVersion,
    ) : StreamOrigin

    /** The stream may have begun on any of several versions. [reason] is for logs and refusals. */
    data class Unknown(
        val reason: String,
    ) : StreamOrigin

    /** Servers of the service state no versions, so the stream may go on at any of them. */
    data object AnyVersion : StreamOrigin
}

/** Origins for services whose servers state no versions. */
object UnversionedStreamOrigins : StreamOrigins {
    override fun usableVersions(serviceId: ServiceId): Set<SoftwareVersion>? = null

    override fun onStreamBegun(
        attemptId: CallerAttemptId,
        serviceId: ServiceId,
        version: SoftwareVersion,
    ) = Unit

    override suspend fun originOf(
        attemptId: CallerAttemptId?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): StreamOrigin = StreamOrigin.AnyVersion
}
