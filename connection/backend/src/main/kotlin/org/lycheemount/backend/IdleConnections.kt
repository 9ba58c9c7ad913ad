package org.lycheemount.backend

/** Connections to backend servers that carry no request, by the address of the server. Thread-safe. */
internal class IdleConnections {
    private val byAddress = HashMap<String, ArrayDeque<BackendConnection>>()

    /** Addresses of all connections, from the one that has been idle for the longest time. */
    private val addresses = LinkedHashMap<BackendConnection, String>()

    /** Adds [connection] unless [maxCount] connections to [address] are idle, and returns whether it was added. */
    @Synchronized
    fun add(
        address: String,
        connection: BackendConnection,
        maxCount: Int,
    ): Boolean {
        val connections = byAddress.getOrPut(address) { ArrayDeque() }
        if (connections.size >= maxCount) return false
        connections.addLast(connection)
        addresses[connection] = address
        return true
    }

    /** Removes and returns the connection to [address] that has been idle for the shortest time and is [suitable], or null. */
    @Synchronized
    fun removeLatest(
        address: String,
        suitable: (BackendConnection) -> Boolean,
    ): BackendConnection? = byAddress[address]?.lastOrNull(suitable)?.also(::remove)

    /** Removes and returns the connection that has been idle for the longest time, or null. */
    @Synchronized
    fun removeLongestIdle(): BackendConnection? = addresses.keys.firstOrNull()?.also(::remove)

    /** Removes and returns all connections that are not [usable]. */
    @Synchronized
    fun removeAllBut(usable: (BackendConnection) -> Boolean): List<BackendConnection> = addresses.keys.filterNot(usable).onEach(::remove)

    private fun remove(connection: BackendConnection) {
        val address = addresses.remove(connection) ?: return
        val connections = byAddress.getValue(address)
        connections.remove(connection)
        if (connections.isEmpty()) byAddress.remove(address)
    }
}
