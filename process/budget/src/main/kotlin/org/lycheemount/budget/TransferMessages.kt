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
     * Transfers tokens; resent until a reply other than [TransferReply.LATER] arrives.
     *
     * @property sequence number of the transfer within the sending process.
     * @property lowestOpenSequence lowest sequence to the same receiver that the sender still resends; all lower ones are complete.
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

/**
 * Reply to a [TokenMessage.TokenRequest].
 *
 * @property sentTokens tokens in transit to the requesting router; 0 for none.
 * @property keptTokens usable tokens that the replying router keeps.
 */
@Serializable
internal data class TokenRequestReply(
    val sentTokens: Long,
    val keptTokens: Long,
)

/** Reply to a [TokenMessage.Transfer]. */
@Serializable
internal enum class TransferReply {
    APPLIED,

    /** Not applied; copies of the message will not be applied either. */
    REFUSED,

    /** Not applied yet; a copy of the message may still be. */
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
