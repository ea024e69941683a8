package org.cicadaturn.tasks.gateway

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.flow.StateFlow
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.decisions.gateway.ReportTimes
import org.cicadaturn.decisions.gateway.SharedWatchTimes
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.WatchTimes
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import kotlin.time.Clock
import kotlin.time.Duration

/** Known state of the fleet, kept up to date from the store and, while the store is unavailable, from peers. */
public interface Fleet {
    /** Latest known state. */
    public val state: StateFlow<FleetState>

    /** Returns the state that this process read from the store itself, for peers that cannot reach the store. */
    public suspend fun ownView(): FleetView

    /**
     * Returns the last answers of the store, once there is one that the peer of [request] has not been told of, or null
     * if this process already reports to enough peers.
     */
    public suspend fun storeReport(request: StoreReportRequest): StoreReport?
}

/**
 * Dependencies of the fleet task.
 *
 * @property self entry of this process in the list of peers
 * @property fetchPeerView returns the view of one of the given peers, or null if none answers
 * @property watchTimes returns the times of the watch of a part that this process follows alone
 * @property sharing how processes share watches, or null if each follows the store alone
 * @property clock monotonic clock
 * @property registrationDelay returns the time after which this process writes its entry to a restored store again; it
 * spreads the writes of all processes
 */
public class FleetDependencies(
    public val store: FleetStore,
    public val self: GatewayPeer,
    public val fetchPeerView: suspend (List<GatewayPeer>) -> FleetView?,
    public val watchTimes: (FleetPart) -> WatchTimes,
    public val backoff: Backoff,
    public val clock: Clock,
    public val sharing: WatchSharing? = null,
    public val registrationDelay: () -> Duration = { Duration.ZERO },
    public val restorationMetrics: RestorationMetrics = RestorationMetrics(PrometheusRegistry()),
)

/**
 * How processes share the watches of the store, as one reports its answers to the others.
 *
 * @property fetchStoreReport requests the next answer of the store from a peer; returns null if the peer sends none
 * @property times returns the times of the watch of a part, or null if the part is not shared
 * @property reportTimes times of the requests for these answers
 * @property suspendAwareClock clock that also advances while the machine is suspended
 */
public class WatchSharing(
    public val fetchStoreReport: suspend (GatewayPeer, StoreReportRequest) -> StoreReport?,
    public val times: (FleetPart) -> SharedWatchTimes?,
    public val reportTimes: ReportTimes,
    public val suspendAwareClock: Clock,
)

/** Name of the task that tracks the state of the fleet. */
internal const val FLEET_TASK = "fleet"
