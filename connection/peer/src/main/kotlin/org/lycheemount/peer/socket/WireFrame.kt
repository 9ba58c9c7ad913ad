package org.lycheemount.peer.socket

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.lycheemount.common.RouterId
import org.lycheemount.common.RouterIdentity

/** Content of a frame on a link. */
@Serializable
internal sealed interface WireFrame {
    /** First frame of the handshake, sent by the dialer. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val protocolVersion: Int,
        val from: RouterIdentity,
        val to: RouterId,
        @ByteString val nonce: ByteArray,
    ) : WireFrame

    /** Response of the acceptor: its own nonce and the proof that it knows the secret. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val protocolVersion: Int,
        val from: RouterIdentity,
        @ByteString val nonce: ByteArray,
        @ByteString val proof: ByteArray,
    ) : WireFrame

    /** Proof of the dialer that it knows the secret. */
    @Serializable
    @SerialName("proof")
    class Proof(
        @ByteString val proof: ByteArray,
    ) : WireFrame

    /** The acceptor has started to use the link. */
    @Serializable
    @SerialName("ready")
    data object Ready : WireFrame

    @Serializable
    @SerialName("c")
    class Call(
        @SerialName("i") val callId: Long,
        @SerialName("c") val channel: String,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    @Serializable
    @SerialName("a")
    class Reply(
        @SerialName("i") val callId: Long,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    /** The call was not handled, because its channel has no handler or too many calls are in progress. */
    @Serializable
    @SerialName("r")
    class Rejected(
        @SerialName("i") val callId: Long,
    ) : WireFrame

    @Serializable
    @SerialName("m")
    class Message(
        @SerialName("c") val channel: String,
        @SerialName("p") @ByteString val payload: ByteArray,
    ) : WireFrame

    @Serializable
    @SerialName("k")
    data object KeepAlive : WireFrame
}

private val cbor = Cbor { ignoreUnknownKeys = true }

internal fun encodeFrame(frame: WireFrame): ByteArray = cbor.encodeToByteArray(WireFrame.serializer(), frame)

/** Decodes a frame. Throws [LinkFailure] if it is malformed. */
internal fun decodeFrame(bytes: ByteArray): WireFrame =
    try {
        cbor.decodeFromByteArray(WireFrame.serializer(), bytes)
    } catch (malformed: Exception) {
        throw LinkFailure("malformed frame of ${bytes.size} bytes", malformed)
    }

internal fun encodeIdentity(identity: RouterIdentity): ByteArray = cbor.encodeToByteArray(RouterIdentity.serializer(), identity)
