package org.lycheemount.scheduling

import org.lycheemount.common.BackendServerId
import org.lycheemount.common.Refusal
import org.lycheemount.common.RequestId

/** Action that the owner of the scheduler has to carry out. */
sealed interface SchedulerAction {
    /** Send the request to the backend server with the engine [priority]; a lower value is more urgent. */
    data class Start(
        val requestId: RequestId,
        val backendServerId: BackendServerId,
        val priority: Int,
    ) : SchedulerAction

    /** Refuse a queued request, which has not run. */
    data class Drop(
        val requestId: RequestId,
        val refusal: Refusal,
    ) : SchedulerAction
}
