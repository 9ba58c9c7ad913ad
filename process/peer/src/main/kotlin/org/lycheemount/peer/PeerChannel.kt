package org.lycheemount.peer

import kotlinx.serialization.Serializable

/** Identifier of the feature that a message belongs to. */
@JvmInline
@Serializable
value class PeerChannel(
    val value: String,
)
