package org.lycheemount.peer

import kotlinx.serialization.Serializable

/** Names the feature that a message belongs to. */
@JvmInline
@Serializable
value class PeerChannel(
    val value: String,
)
