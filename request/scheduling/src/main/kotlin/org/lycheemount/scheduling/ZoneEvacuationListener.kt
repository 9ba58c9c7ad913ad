package org.lycheemount.scheduling

import org.lycheemount.common.ZoneId

/** Receives the availability zones that the operator has evacuated. */
interface ZoneEvacuationListener {
    /** Replaces the evacuated zones. Their servers get no new requests, even if no other server can take them. */
    fun onEvacuatedZones(
        zones: Set<ZoneId>,
        nowMs: Long,
    ) {}
}
