package org.lycheemount.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lycheemount.common.ServiceId
import org.lycheemount.common.WorkClassId

/**
 * A plain service that the system routes to.
 *
 * @property callPriceTokens tokens that one call takes from the team's budget.
 * @property routes exceptions to the rule that GET, HEAD, PUT, DELETE and OPTIONS may be repeated; the first match counts.
 */
@Serializable
data class PlainService(
    val serviceId: ServiceId,
    val callPriceTokens: Long = 1,
    val routes: List<ServiceRoute> = emptyList(),
    val defaultWorkClassId: WorkClassId,
)

/** Says whether calls with [method] to paths that start with [pathPrefix] may be repeated. */
@Serializable
data class ServiceRoute(
    val method: String,
    val pathPrefix: String,
    @SerialName("idempotent")
    val isIdempotent: Boolean,
)
