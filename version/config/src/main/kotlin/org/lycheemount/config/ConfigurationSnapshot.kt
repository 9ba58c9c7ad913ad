package org.lycheemount.config

import kotlinx.serialization.Serializable
import org.lycheemount.common.ModelId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.TeamId
import org.lycheemount.common.WorkClassId

/**
 * Immutable snapshot of the whole configuration.
 *
 * @property sequence sequence of the last change included; it never decreases within a router.
 * @property routes routes of requests that are passed through by host and path.
 * @property routedServices services that [routes] lead to.
 */
@Serializable
data class ConfigurationSnapshot(
    val sequence: Long = 0,
    val teams: Map<TeamId, Team> = emptyMap(),
    val workClasses: Map<WorkClassId, WorkClass> = emptyMap(),
    val models: Map<ModelId, Model> = emptyMap(),
    val services: Map<ServiceId, PlainService> = emptyMap(),
    val routes: List<Route> = emptyList(),
    val routedServices: Map<ServiceId, RoutedService> = emptyMap(),
    val listenerLimits: ListenerLimits = ListenerLimits(),
)
