package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.ServiceId
import org.lycheemount.common.WorkClassId

/**
 * A plain service that the system routes to.
 *
 * @property callPriceTokens tokens charged to the team's budget for one call.
 * @property routes exceptions to the rule that GET, HEAD, PUT, DELETE and OPTIONS are idempotent; the first match applies.
 */
@Serializable
data class PlainService(
    val serviceId: ServiceId,
    val callPriceTokens: Long = 1,
    val routes: List<ServiceRoute> = emptyList(),
    val defaultWorkClassId: WorkClassId,
)

/** States whether calls with [method] to paths that start with [pathPrefix] are idempotent and may be retried. */
@Serializable
data class ServiceRoute(
    val method: String,
    val pathPrefix: String,
    @SerialName("idempotent")
    val isIdempotent: Boolean,
)
