package org.lycheemount.caller.routed

import org.lycheemount.common.CallerAttemptId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.SoftwareVersion
import org.lycheemount.origins.StreamOrigin
import org.lycheemount.origins.StreamOrigins
import java.util.concurrent.CopyOnWriteArrayList

/** Tells the origins that a test sets, and records what it was told and asked. */
internal class FakeStreamOrigins : StreamOrigins {
    @Volatile
    var usableVersions: Set<SoftwareVersion>? = null

    /** What a request that resumes a stream waits for. */
    @Volatile
    var findOrigin: suspend () -> StreamOrigin = { StreamOrigin.AnyVersion }

    /** Attempt and version of each stream that has begun. */
    val begunStreams = CopyOnWriteArrayList<Pair<String, String>>()

    /** The attempts whose origin was asked for. */
    val askedAttempts = CopyOnWriteArrayList<String?>()

    override fun usableVersions(serviceId: ServiceId): Set<SoftwareVersion>? = usableVersions

    override fun onStreamBegun(
        attemptId: CallerAttemptId,
        serviceId: ServiceId,
        version: SoftwareVersion,
    ) {
        begunStreams += attemptId.value to version.value
    }

    override suspend fun originOf(
        attemptId: CallerAttemptId?,
        serviceId: ServiceId,
        patienceMs: Long,
    ): StreamOrigin {
        askedAttempts += attemptId?.value
        return findOrigin()
    }
}
