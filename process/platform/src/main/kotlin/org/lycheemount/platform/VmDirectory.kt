package org.lycheemount.platform

/** The platform's list of VMs, which is eventually consistent. */
interface VmDirectory {
    /** Returns the current list of the platform, which may lag behind the actual state by tens of seconds. */
    suspend fun list(): TableResult<VmList>
}
