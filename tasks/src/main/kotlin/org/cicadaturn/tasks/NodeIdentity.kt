package org.cicadaturn.tasks

import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.schema.generated.WireSettings
import org.cicadaturn.tasks.wire.WireIdentity
import org.cicadaturn.tasks.wire.WireTimes

/** Process of the system that runs until it is stopped. */
public interface Node {
    /** Addresses that the process listens on, by their name in the port file. */
    public val listeners: Map<String, NetworkAddress>

    /**
     * Stops gracefully: refuses new work, waits up to the stop timeout for running work, and returns the number of
     * requests that were cut, because they had not ended by then.
     */
    public suspend fun stop(): Int
}

internal fun wireIdentity(
    role: Role,
    process: ProcessSettings,
    wire: WireSettings,
    incarnation: Incarnation,
): WireIdentity =
    WireIdentity(role, ProcessId(process.id), incarnation, FailureDomainId(process.failureDomain), wire.key)

internal fun wireTimes(wire: WireSettings): WireTimes =
    WireTimes(wire.connectTimeout, wire.keepaliveInterval, wire.keepaliveTimeout)
