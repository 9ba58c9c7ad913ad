package org.lycheemount.testing

/**
 * Loopback address on which tests of this process open listeners whose port must be known before they are open, or must stay free after
 * they are closed. Outgoing connections get ports of 127.0.0.1 and other test processes use other addresses, so neither takes the port of
 * such a listener.
 */
val LISTENER_HOST: String = loopbackHost(ProcessHandle.current().pid())

/** Returns an address of 127.128.0.0/9, different for each [processId] of up to 22 bits, the most that Linux assigns. */
private fun loopbackHost(processId: Long): String {
    val host = processId or FIRST_HOST
    return "127.${host shr 16 and 0xff}.${host shr 8 and 0xff}.${host and 0xff}"
}

private const val FIRST_HOST = 0x800000L
