package org.lycheemount.caller.routed

import org.lycheemount.backend.BodyFraming
import org.lycheemount.common.BackendServerId

/**
 * What was relayed of a stream.
 *
 * @property framing what told, or would have told, the end of the last server's response.
 * @property eventCount number of relayed events with an id.
 * @property lastEventId null if no relayed event has an id.
 * @property resumedAt servers whose events continue the stream, in order; not the first one.
 */
internal data class StreamReport(
    val framing: BodyFraming,
    val eventCount: Int,
    val lastEventId: Long?,
    val resumedAt: List<BackendServerId>,
)
