package org.lycheemount.platform.http

import io.ktor.http.HttpMethod
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList

/** VM directory over HTTP. Sends `GET` to [vmListUrl]. */
internal class DefaultVmDirectory(
    private val http: PlatformHttp,
    private val vmListUrl: String,
) : VmDirectory {
    override suspend fun list(): TableResult<VmList> =
        http.toResult(http.exchange(HttpMethod.Get, vmListUrl), isReadOnly = true) { http.decodeJson(it, VmList.serializer()) }
}
