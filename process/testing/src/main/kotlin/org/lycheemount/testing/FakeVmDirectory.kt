package org.lycheemount.testing

import org.lycheemount.common.Clock
import org.lycheemount.common.RouterIdentity
import org.lycheemount.platform.RouterVm
import org.lycheemount.platform.TableResult
import org.lycheemount.platform.VmDirectory
import org.lycheemount.platform.VmList

/** VM list of routers that a test changes. To simulate the platform's lag, the test delays its changes. */
class FakeVmDirectory(
    private val clock: Clock,
) : VmDirectory {
    private val vms = linkedMapOf<String, RouterVm>()

    /** While false, every call returns [TableResult.Unavailable]. */
    var isAvailable: Boolean = true

    /** Adds the VM of [identity] to the list. */
    fun add(identity: RouterIdentity) {
        vms[identity.vmId.value] = RouterVm(identity.vmId, identity.routerId, identity.regionId, identity.zoneId, "127.0.0.1", 0)
    }

    /** Removes the VM of [identity] from the list, as the platform does some time after the VM has ended. */
    fun remove(identity: RouterIdentity) {
        vms.remove(identity.vmId.value)
    }

    override suspend fun list(): TableResult<VmList> =
        if (isAvailable) {
            TableResult.Response(VmList(vms.values.toList(), emptyList(), clock.wallClockMs()))
        } else {
            TableResult.Unavailable("VM list is down")
        }
}
