package org.cicadaturn.tasks.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.cicadaturn.decisions.gateway.FleetChange
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.quarantine.ServiceSegment
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.LeaseRecord
import org.cicadaturn.schema.generated.QuarantinedSegment
import org.cicadaturn.schema.generated.StorePosition
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Duration

/** Store whose content does not change; without [content] it is unavailable. */
internal class FixedFleetStore(
    private val content: List<FleetChange>?,
) : FleetStore {
    private val unavailable = StoreError.Unavailable("the store of this test is unavailable")

    override suspend fun list(part: FleetPart): Either<StoreError, FleetChanges> {
        val changes = content ?: return unavailable.left()
        return FleetChanges(StorePosition(0, 1), changes.filter { partOf(it) == part }).right()
    }

    override suspend fun watch(
        part: FleetPart,
        position: StorePosition,
        wait: Duration,
    ): Either<StoreError, FleetChanges> {
        delay(wait)
        return FleetChanges(position, emptyList()).right()
    }

    override suspend fun register(peer: GatewayPeer): Either<StoreError, StorePosition> =
        if (content == null) unavailable.left() else StorePosition(0, 1).right()

    override suspend fun quarantine(entry: QuarantinedSegment): Either<StoreError, Unit> = unavailable.left()

    override suspend fun release(segment: ServiceSegment): Either<StoreError, Unit> = unavailable.left()

    override suspend fun readLease(
        name: String,
        isFresh: Boolean,
    ): Either<StoreError, StoredLease> = unavailable.left()

    override suspend fun writeLease(
        name: String,
        record: LeaseRecord,
        expected: StorePosition?,
    ): Either<StoreError, StorePosition> = unavailable.left()
}

private fun partOf(change: FleetChange): FleetPart =
    when (change) {
        is FleetChange.Configured -> FleetPart.CONFIGURATION
        is FleetChange.EndpointListed, is FleetChange.EndpointGone -> FleetPart.ENDPOINTS
        is FleetChange.DomainDrained, is FleetChange.DomainReturned -> FleetPart.DRAINED_DOMAINS
        is FleetChange.PeerListed, is FleetChange.PeerGone -> FleetPart.PEERS
        is FleetChange.SegmentQuarantined, is FleetChange.SegmentReleased -> FleetPart.QUARANTINE
    }
