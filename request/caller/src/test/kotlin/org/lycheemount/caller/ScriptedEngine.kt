package org.lycheemount.caller

import kotlinx.serialization.json.Json
import org.lycheemount.backend.CancelResponse
import org.lycheemount.backend.EngineChunk
import org.lycheemount.backend.GenerateRequest
import org.lycheemount.common.BackendServer
import org.lycheemount.common.BackendServerId
import org.lycheemount.common.BackendTarget
import org.lycheemount.common.ModelId
import org.lycheemount.common.RequestId
import org.lycheemount.common.ServiceId
import org.lycheemount.common.VmId
import org.lycheemount.common.ZoneId
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.concurrent.thread

/** One step of a scripted response. After the last step, the response ends and frees its slot, except after [Disconnect]. */
internal sealed interface ScriptStep {
    /** Sends the tokens from index [from] up to but excluding [until]. */
    data class Send(
        val from: Int,
        val until: Int,
    ) : ScriptStep

    /** Sends the finish reason. */
    data class Finish(
        val reason: String,
    ) : ScriptStep

    /** Closes the connection before the end of the response, as a crashing engine does. */
    data object Disconnect : ScriptStep

    /** Waits until the generation is cancelled. */
    data object AwaitCancel : ScriptStep

    /** Waits until the test opens the gate with [ScriptedEngine.openGate]. */
    data object AwaitGate : ScriptStep
}

/**
 * Backend server on a real socket that follows [script] for each generation. Token `i` of any response is `ti `, which makes gaps and
 * repeats visible. A generation occupies its slot until it ends or is cancelled, even if its connection is closed.
 *
 * It writes to the socket directly, because a server library may keep the connection open when a handler fails.
 */
internal class ScriptedEngine(
    private val name: String,
    private val script: (GenerateRequest) -> List<ScriptStep>,
) : AutoCloseable {
    private val cancelLatches = ConcurrentHashMap<RequestId, CountDownLatch>()
    private val listener = ServerSocket(0, 64, InetAddress.getLoopbackAddress())
    private val gateLatch = CountDownLatch(1)
    val requests = CopyOnWriteArrayList<GenerateRequest>()
    val cancels = CopyOnWriteArrayList<RequestId>()
    val serviceCalls = CopyOnWriteArrayList<String>()
    val heldSlots: MutableSet<RequestId> = ConcurrentHashMap.newKeySet()

    /** Response to service calls; null closes the connection after the call has run. */
    @Volatile
    var serviceResponse: String? = "done"

    private val acceptor =
        thread(isDaemon = true, name = name) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }

    fun describe() =
        BackendServer(
            BackendServerId(name),
            VmId("vm-$name"),
            ZoneId("z1"),
            "127.0.0.1",
            listener.localPort,
            setOf(BackendTarget.Model(ModelId("m1")), BackendTarget.Service(ServiceId("s1"))),
        )

    fun openGate() = gateLatch.countDown()

    /** Refuses connections when it returns. */
    override fun close() {
        listener.close()
        // A thread that is blocked in accept may still take one connection after the close.
        acceptor.join()
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        val (method, path) = readLine(input).split(' ')
        val headers = generateSequence { readLine(input).takeIf { it.isNotEmpty() } }.toList()
        val length =
            headers
                .firstOrNull { it.startsWith("content-length", ignoreCase = true) }
                ?.substringAfter(':')
                ?.trim()
                ?.toInt() ?: 0
        val body = input.readNBytes(length).decodeToString()
        when (path) {
            "/v1/generate" -> generate(Json.decodeFromString(body), socket)
            "/v1/cancel" -> cancel(body, socket)
            else -> serviceCall("$method $path $body".trim(), socket)
        }
    }

    private fun readLine(input: InputStream): String =
        buildString {
            while (true) {
                val byte = input.read()
                if (byte < 0 || byte == '\n'.code) break
                if (byte != '\r'.code) append(byte.toChar())
            }
        }

    private fun generate(
        request: GenerateRequest,
        socket: Socket,
    ) {
        requests += request
        heldSlots += request.requestId
        val out = socket.getOutputStream()
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n".encodeToByteArray())
        for (step in script(request)) {
            when (step) {
                is ScriptStep.Send ->
                    out.writeChunk(
                        EngineChunk(request.requestId, step.from, (step.from until step.until).map { "t$it " }),
                    )
                is ScriptStep.Finish -> out.writeChunk(EngineChunk(request.requestId, lastToken(request), finishReason = step.reason))
                ScriptStep.AwaitGate -> gateLatch.await()
                ScriptStep.AwaitCancel -> cancelLatchOf(request.requestId).await()
                ScriptStep.Disconnect -> return
            }
        }
        heldSlots -= request.requestId
        out.write("0\r\n\r\n".encodeToByteArray())
    }

    private fun OutputStream.writeChunk(chunk: EngineChunk) {
        val line = Json.encodeToString(chunk) + "\n"
        write("${line.length.toString(radix = 16)}\r\n$line\r\n".encodeToByteArray())
    }

    private fun cancel(
        body: String,
        socket: Socket,
    ) {
        val requestId = Regex("\"requestId\":\"([^\"]+)\"").find(body)!!.groupValues[1].let(::RequestId)
        cancels += requestId
        val found = heldSlots.remove(requestId)
        cancelLatchOf(requestId).countDown()
        socket.respond(Json.encodeToString(CancelResponse(found, lastToken(requests.last { it.requestId == requestId }))))
    }

    private fun serviceCall(
        call: String,
        socket: Socket,
    ) {
        serviceCalls += call
        serviceResponse?.let { socket.respond(it) }
    }

    private fun Socket.respond(text: String) =
        getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\nConnection: close\r\n\r\n$text".encodeToByteArray())

    private fun lastToken(request: GenerateRequest) = script(request).filterIsInstance<ScriptStep.Send>().maxOfOrNull { it.until } ?: 0

    private fun cancelLatchOf(requestId: RequestId) = cancelLatches.computeIfAbsent(requestId) { CountDownLatch(1) }
}
