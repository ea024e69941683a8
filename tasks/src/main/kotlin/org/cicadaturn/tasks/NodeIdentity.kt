package org.cicadaturn.tasks

import arrow.core.Either
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessId
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.Role
import org.cicadaturn.schema.generated.WireSettings
import org.cicadaturn.tasks.listen.ListenFailedException
import org.cicadaturn.tasks.listen.ListenFailure
import org.cicadaturn.tasks.wire.WireIdentity
import org.cicadaturn.tasks.wire.WireTimes

/** Process of the system that runs until it is stopped. */
public interface Node {
    /** Addresses that the process listens on now, by their name in the port file. */
    public val listeners: Map<String, NetworkAddress>

    /** Waits until the process listens on all its addresses; returns a failure that no later attempt can mend. */
    public suspend fun awaitListeners(): Either<ListenFailure, Unit>

    /**
     * Stops gracefully: refuses new work, waits up to the stop timeout for running work, and returns the number of
     * requests that were cut, because they had not ended by then.
     */
    public suspend fun stop(): Int
}

/**
 * Waits until this process listens on all its addresses and returns it.
 *
 * @throws ListenFailedException if it cannot listen on one of them
 */
public suspend fun Node.listening(): Node {
    awaitListeners().onLeft { throw ListenFailedException(it.address, it.error) }
    return this
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
