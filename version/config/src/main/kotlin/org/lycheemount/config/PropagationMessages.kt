package org.lycheemount.config

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.peer.PeerChannel

internal val pushChannel = PeerChannel("config.push")
internal val pullChannel = PeerChannel("config.pull")

internal val wireCbor = Cbor { ignoreUnknownKeys = true }

/** Carries one change as the JSON text of its row. */
@Serializable
internal data class PushMessage(
    val change: String,
)

/**
 * Asks for what follows [afterSequence], or for the page of items after [afterKey].
 *
 * @property wholeState true asks for pages of items.
 */
@Serializable
internal data class PullRequest(
    val afterSequence: Long,
    val wholeState: Boolean,
    val afterKey: ItemKey? = null,
)

/**
 * Answers a [PullRequest] with changes in order or with a page of items, both as JSON texts.
 *
 * @property loaded false when the answering router has no configuration itself.
 * @property more true when another page follows.
 */
@Serializable
internal data class PullAnswer(
    val loaded: Boolean,
    val sequence: Long = 0,
    val changeId: String = "",
    val changes: List<String>? = null,
    val items: List<String> = emptyList(),
    val more: Boolean = false,
)
