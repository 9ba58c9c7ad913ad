package org.lycheemount.standin

import kotlinx.serialization.Serializable
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.ServiceId

/**
 * Settings of one service stand-in.
 *
 * @property port 0 binds an ephemeral port.
 * @property serviceTimeMs execution time of each call.
 * @property capacity number of concurrent calls that the server reports as its limit. It is not enforced.
 */
@Serializable
data class ServiceStandInSettings(
    val backendServerId: BackendServerId = BackendServerId("service-server"),
    val serviceId: ServiceId,
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val serviceTimeMs: Long = 5,
    val capacity: Int = 64,
    val faults: ServiceFaults = ServiceFaults(),
    val seed: Int = 1,
)
