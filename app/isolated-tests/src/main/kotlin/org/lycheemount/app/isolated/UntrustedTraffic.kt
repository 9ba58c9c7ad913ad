package org.lycheemount.app.isolated

import org.lycheemount.platform.adapter.testing.DEADLINE_HEADER
import org.lycheemount.platform.adapter.testing.LAST_EVENT_ID_HEADER
import org.lycheemount.platform.adapter.testing.PROMPT_PARTS_HEADER
import org.lycheemount.platform.adapter.testing.TOKENS_HEADER

/*
 * What callers that no operator controls send over one connection. Each function sends a fixed number of bytes, however much the router
 * reads, so that the traffic of a test does not depend on the speed of the machine.
 */

/** Size of one body, below the limit of 4,194,304 bytes. */
const val LARGE_BODY_BYTES: Int = 4_128_768

/** Sends 1 MB of requests without a body, each with another key, and reads no response. */
fun CrowdConnection.sendRequestsAhead() =
    repeat(PARTS_PER_MB) { part ->
        val requests = StringBuilder()
        var count = 0
        while (requests.length < PART_BYTES) {
            requests.append(requestHead("POST", "/plain/", "Authorization: Bearer key-$part-${count++}-${hashCode()}", "Content-Length: 0"))
        }
        send(requests.toString())
    }

/** Sends 1 MB of complete requests for an unknown route without reading a response. */
fun CrowdConnection.sendUnknownRoutesAhead() {
    val request = requestHead("GET", "/unknown/")
    repeat(PARTS_PER_MB) { send(request.repeat(PART_BYTES / request.length + 1)) }
}

/** Sends a body of [bodyBytes] in one-byte chunks and does not end it. */
fun CrowdConnection.sendOneByteChunks(bodyBytes: Int) {
    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked"))
    repeat(bodyBytes / CHUNKS_PER_PART) { send("1\r\nb\r\n".repeat(CHUNKS_PER_PART)) }
}

/** Sends 1 MB of header lines and does not end the head. */
fun CrowdConnection.sendHeadWithoutEnd() {
    send("GET /plain/ HTTP/1.1\r\nHost: h\r\n")
    sendHeaderLines()
}

/** Sends 1 MB of trailers after a body and does not end them. */
fun CrowdConnection.sendTrailersWithoutEnd() {
    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked") + "1\r\nb\r\n0\r\n")
    sendHeaderLines()
}

private fun CrowdConnection.sendHeaderLines() = repeat(PARTS_PER_MB * LINES_PER_PART) { send(headerLine(it) + "\r\n") }

/** Sends 1 MB of empty lines. */
fun CrowdConnection.sendEmptyLines() = repeat(PARTS_PER_MB) { send("\r\n".repeat(PART_BYTES / 2)) }

/** Sends 1 MB of a request line and does not end it. */
fun CrowdConnection.sendRequestLineWithoutEnd() {
    send("GET /")
    repeat(PARTS_PER_MB) { send("p".repeat(PART_BYTES)) }
}

/** Sends ten complete heads of about [headBytes]. */
fun CrowdConnection.sendLargeHeads(headBytes: Int) =
    repeat(LARGE_HEADS) { send(requestHead("GET", "/working/", *Array(headBytes / LINE_BYTES, ::headerLine))) }

/** Sends a head of about [headBytes] that consists of the shortest fields there are, and a body that stops short of its end. */
fun CrowdConnection.sendShortFields(headBytes: Int) =
    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked", *shortFields(headBytes)) + UNFINISHED_BODY)

/** Sends a head of about [headBytes] that consists of the shortest fields there are, and does not end it. */
fun CrowdConnection.sendShortFieldsWithoutEnd(headBytes: Int) =
    send(requestHead("POST", "/working/", *shortFields(headBytes)).removeSuffix("\r\n"))

/** Sends a head with a request line of [lineBytes] and ordinary fields of [headBytes] together, and a body that stops short of its end. */
fun CrowdConnection.sendLargeFields(
    lineBytes: Int,
    headBytes: Int,
) = send(
    requestHead("POST", "/working/" + "p".repeat(lineBytes), "Transfer-Encoding: chunked", *Array(headBytes / FIELD_BYTES, ::field)) +
        UNFINISHED_BODY,
)

/** Sends a body of [LARGE_BODY_BYTES] in chunks of 64 KB without the last chunk. */
fun CrowdConnection.sendBodyWithoutEnd() {
    send(requestHead("POST", "/working/", "Transfer-Encoding: chunked"))
    repeat(LARGE_BODY_BYTES / PART_BYTES) { send(LARGE_CHUNK) }
}

/** Sends a request with a body of [bodyBytes], and returns the status of the response; null without one. */
fun CrowdConnection.sendBody(bodyBytes: Int): Int? {
    send(requestHead("POST", "/working/", "Content-Length: $bodyBytes"))
    send(ByteArray(bodyBytes))
    return readResponse()
}

/**
 * Sends one request for each of [STATED_TOKENS], each after the response to the one before, and begins with that at [offset].
 * Each states a part of its prompt of that many tokens, and extreme numbers in the other headers.
 */
fun CrowdConnection.sendStatedNumbers(offset: Int) =
    repeat(STATED_TOKENS.size) {
        val tokens = STATED_TOKENS[(offset + it) % STATED_TOKENS.size]
        send(
            requestHead(
                "POST",
                "/working/",
                "Content-Length: 0",
                "$TOKENS_HEADER: $tokens,$tokens",
                "$PROMPT_PARTS_HEADER: 5c1e07a2:$tokens,91bd3f06:$tokens",
                "$DEADLINE_HEADER: 1e300",
                "$LAST_EVENT_ID_HEADER: ${Long.MAX_VALUE}",
            ),
        )
        if (readResponse() == null) return
    }

/** Sends [count] ordinary requests, each after the response to the one before. */
fun CrowdConnection.sendOrdinaryRequests(count: Int) =
    repeat(count) {
        send(IsolatedFixture.ORDINARY_REQUEST)
        if (readResponse() == null) return
    }

private fun shortFields(bytes: Int) = Array(bytes / SHORT_FIELD.length) { SHORT_FIELD.trim() }

private fun field(number: Int) = "X-F-$number: ".let { it + "v".repeat(FIELD_BYTES - it.length - 2) }

private fun headerLine(number: Int) = "X-Line-$number: ${"v".repeat(LINE_BYTES)}"

/** Tokens of parts of prompts that callers state: above and within what a number of 32 bits holds, within the memory of no server. */
val STATED_TOKENS: List<String> = listOf("2000000000", "100000000", "16000000", "99999999999999999999", "-2000000000")

private const val PART_BYTES = 65_536
private const val PARTS_PER_MB = 16
private const val LINE_BYTES = 4_096
private const val LINES_PER_PART = 16
private const val LARGE_HEADS = 10
private const val SHORT_FIELD = "a:\r\n"
private const val FIELD_BYTES = 100
private const val UNFINISHED_BODY = "4\r\nbody\r\n"
private const val CHUNKS_PER_PART = 1_024
private val LARGE_CHUNK = "10000\r\n${"b".repeat(PART_BYTES)}\r\n".encodeToByteArray()
