package org.lycheemount.standin

import kotlinx.serialization.Serializable

/**
 * Settings of `bin/standin engines`.
 *
 * @property controlPort listener of `POST /die/{id}` and `POST /restart/{id}`; 0 binds an ephemeral port.
 */
@Serializable
data class EnginesSettings(
    val host: String = "127.0.0.1",
    val controlPort: Int = 0,
    val engines: List<EngineStandInSettings>,
)

/**
 * Settings of `bin/standin services`; servers of the same service share their records.
 *
 * @property controlPort listener of `POST /die/{id}` and `POST /restart/{id}`; 0 binds an ephemeral port.
 */
@Serializable
data class ServicesSettings(
    val host: String = "127.0.0.1",
    val controlPort: Int = 0,
    val servers: List<ServiceStandInSettings>,
)
