package org.cicadaturn.tasks.gateway

import arrow.core.Either
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration

/**
 * The platform's store as far as a gateway process uses it.
 *
 * Each call ends within a bound of its own. A front end to another platform implements this interface.
 */
public interface FleetStore {
    /** Returns everything in [part]. */
    public suspend fun list(part: FleetPart): Either<StoreError, FleetChanges>

    /** Returns the changes of [part] after [revision], waiting up to [wait] for the first. */
    public suspend fun watch(
        part: FleetPart,
        revision: Long,
        wait: Duration,
    ): Either<StoreError, FleetChanges>

    /** Makes [peer] known to the other gateway processes. */
    public suspend fun register(peer: GatewayPeer): Either<StoreError, Unit>

    /** Returns the lease [name] with its revision, null if there is none; seconds old unless [isFresh], but cheaper. */
    public suspend fun readLease(
        name: String,
        isFresh: Boolean,
    ): Either<StoreError, StoredLease?>

    /** Writes the lease [name] if it still has revision [expected], null if it must not exist; returns the new one. */
    public suspend fun writeLease(
        name: String,
        record: LeaseRecord,
        expected: Long?,
    ): Either<StoreError, Long>
}

/** A lease with the store revision of its last change. */
public data class StoredLease(
    val record: LeaseRecord,
    val revision: Long,
)
