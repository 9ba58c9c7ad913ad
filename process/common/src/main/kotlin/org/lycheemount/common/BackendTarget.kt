package org.lycheemount.common

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Target of a request. */
@Serializable
sealed interface BackendTarget {
    /** A model, served by model engines. */
    @Serializable
    @SerialName("model")
    data class Model(
        val modelId: ModelId,
    ) : BackendTarget

    /** A plain service. */
    @Serializable
    @SerialName("service")
    data class Service(
        val serviceId: ServiceId,
    ) : BackendTarget
}
