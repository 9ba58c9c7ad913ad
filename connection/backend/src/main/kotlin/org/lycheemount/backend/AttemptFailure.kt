package org.lycheemount.backend

/**
 * Why an attempt at a backend server failed.
 *
 * @property certainlyNotRun true when the request had no effect at the server.
 */
enum class AttemptFailure(
    val certainlyNotRun: Boolean,
) {
    CONNECT_FAILED(true),
    REFUSED_BUSY(true),
    REFUSED_LEAVING(true),
    TIMED_OUT(false),
    BROKEN_CONNECTION(false),
    SERVER_ERROR(false),
}
