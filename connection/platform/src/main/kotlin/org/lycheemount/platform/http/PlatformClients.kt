package org.lycheemount.platform.http

import org.lycheemount.platform.ObjectStore
import org.lycheemount.platform.TableService
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.WeightStore

/** Clients of all services of the platform. [close] closes their connections. */
class PlatformClients internal constructor(
    private val http: PlatformHttp,
    val table: TableService,
    val objectStore: ObjectStore,
    val vmDirectory: VmDirectory,
    val weightStore: WeightStore,
) : AutoCloseable {
    override fun close() = http.close()
}

/**
 * Creates the clients of the platform.
 *
 * @param tableUrl base URL without a trailing slash, like [objectStoreUrl] and [weightStoreUrl].
 * @param vmListUrl full URL of the VM list.
 * @param callTimeoutMs timeout of one call.
 */
fun createPlatformClients(
    tableUrl: String,
    objectStoreUrl: String,
    vmListUrl: String,
    weightStoreUrl: String,
    callTimeoutMs: Long,
): PlatformClients {
    val http = PlatformHttp(callTimeoutMs)
    return PlatformClients(
        http,
        DefaultTableService(http, tableUrl),
        DefaultObjectStore(http, objectStoreUrl),
        DefaultVmDirectory(http, vmListUrl),
        DefaultWeightStore(http, weightStoreUrl),
    )
}
