package org.cicadaturn.tasks.gateway

import arrow.core.Either
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration

/**
 * Operations of the platform's store that a gateway process uses.
 *
 * Each call ends within a time limit of its implementation. An adapter to another platform implements this interface.
 */
public interface FleetStore {
    /** Returns the whole content of [part]. */
    public suspend fun list(part: FleetPart): Either<StoreError, FleetChanges>

    /** Returns the changes of [part] after [position], waiting up to [wait] for the first one. */
    public suspend fun watch(
        part: FleetPart,
        position: StorePosition,
        wait: Duration,
    ): Either<StoreError, FleetChanges>

    /** Writes the entry by which the other gateway processes find [peer], and returns its position. */
    public suspend fun register(peer: GatewayPeer): Either<StoreError, StorePosition>

    /** Adds [entry] to the quarantined segments, or replaces the entry of its segment. */
    public suspend fun quarantine(entry: QuarantinedSegment): Either<StoreError, Unit>

    /** Removes the entry of [segment] from the quarantined segments, if there is one. */
    public suspend fun release(segment: ServiceSegment): Either<StoreError, Unit>

    /**
     * Returns the lease [name] with its position in the store.
     *
     * A read without [isFresh] is cheaper, but its result may be seconds old.
     */
    public suspend fun readLease(
        name: String,
        isFresh: Boolean,
    ): Either<StoreError, StoredLease>

    /**
     * Writes the lease [name] if it is still at [expected], and returns the new position.
     *
     * A null [expected] means that the lease must not exist.
     */
    public suspend fun writeLease(
        name: String,
        record: LeaseRecord,
        expected: StorePosition?,
    ): Either<StoreError, StorePosition>
}

/**
 * Lease as read from the store.
 *
 * @property record content, or null if there is none
 * @property position position of its last change; without a lease, the start of the era in which it was missing
 */
public data class StoredLease(
    val record: LeaseRecord?,
    val position: StorePosition,
)
