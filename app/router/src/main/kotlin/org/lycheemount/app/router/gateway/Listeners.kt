package org.lycheemount.app.router.gateway

/** Returns the host of [address], given as `IP address:port`. */
internal fun hostOf(address: String): String = address.substringBeforeLast(':')

/** Returns the port of [address], given as `IP address:port`. */
internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
