package org.lycheemount.platform

/** The platform's lagging list of VMs. */
interface VmDirectory {
    /** Returns the list as the platform has it now, which may lag behind the truth by tens of seconds. */
    suspend fun list(): TableResult<VmList>
}
