package org.lycheemount.backend

/**
 * Why an attempt at a backend server failed.
 *
 * @property hadNoEffect true if the request certainly had no effect at the server.
 */
enum class AttemptFailure(
    val hadNoEffect: Boolean,
) {
    CONNECT_FAILED(true),
    REFUSED_BUSY(true),
    REFUSED_LEAVING(true),
    TIMED_OUT(false),
    BROKEN_CONNECTION(false),
    SERVER_ERROR(false),
}
