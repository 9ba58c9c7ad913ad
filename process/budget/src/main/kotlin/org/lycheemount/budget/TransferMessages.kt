package org.lycheemount.budget

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.lycheemount.common.BudgetId
import org.lycheemount.peer.PeerChannel

internal val TOKENS_CHANNEL = PeerChannel("budget.tokens")

/** Messages between routers that request and transfer tokens. */
@Serializable
internal sealed interface TokenMessage {
    /**
     * Requests tokens.
     *
     * @property shortfallTokens tokens that a waiting request lacks; 0 when the sender only plans ahead.
     * @property plannedTokens further tokens for expected requests.
     */
    @Serializable
    @SerialName("needed")
    data class TokenRequest(
        val budgetId: BudgetId,
        @SerialName("lackingTokens") val shortfallTokens: Long,
        val plannedTokens: Long,
    ) : TokenMessage

    /**
     * Transfers tokens; resent until answered.
     *
     * @property sequence number of the transfer within the sending process.
     * @property lowestOpenSequence every earlier transfer to the same receiver has been answered.
     * @property receiverIncarnation incarnation of the receiving process; other incarnations do not apply the transfer.
     */
    @Serializable
    @SerialName("transfer")
    data class Transfer(
        val sequence: Long,
        val lowestOpenSequence: Long,
        val budgetId: BudgetId,
        val tokens: Long,
        val receiverIncarnation: Long,
    ) : TokenMessage
}

/** Answer to a [TokenMessage.TokenRequest]: tokens in transit, and usable tokens that the answering router keeps. */
@Serializable
internal data class TokenRequestReply(
    val sentTokens: Long,
    val keptTokens: Long,
)

@Serializable
internal enum class TransferReply {
    APPLIED,

    /** Not applied; no repetition will be. */
    REFUSED,

    /** Not applied yet; a repetition may be. */
    LATER,

    /** Addressed to an earlier process of the receiver, which may have applied it. */
    OTHER_INCARNATION,
}

internal val peerCbor = Cbor { ignoreUnknownKeys = true }

/** Returns null for a malformed message, so that it does not stop the background work. */
internal inline fun <reified T> decodePeerMessage(payload: ByteArray): T? =
    try {
        peerCbor.decodeFromByteArray<T>(payload)
    } catch (_: SerializationException) {
        null
    }
