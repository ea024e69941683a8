package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.decisions.gateway.FleetChanges
import org.cicadaturn.decisions.gateway.FleetPart
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest
import org.cicadaturn.tasks.store.StoreError
import kotlin.time.Instant

/** Message to the task that tracks the state of the fleet. */
internal sealed interface FleetMessage {
    /** An answer of the store: the whole content of [part], or what has changed there; [isApplied] gets the outcome. */
    class Answered(
        val part: FleetPart,
        val changes: FleetChanges,
        val isList: Boolean,
        val isApplied: CompletableDeferred<Boolean>,
    ) : FleetMessage

    class Failed(
        val part: FleetPart,
        val error: StoreError,
    ) : FleetMessage

    class Relayed(
        val view: FleetView,
    ) : FleetMessage

    /** The peers were asked for what they know at the start of this process; [view] is null if none answered. */
    class PeersAsked(
        val view: FleetView?,
    ) : FleetMessage

    class Reported(
        val answer: StoreReport,
        val sentAt: Instant,
    ) : FleetMessage

    class GetReport(
        val request: StoreReportRequest,
        val receivedAt: Instant,
        val reply: CompletableDeferred<StoreReport?>,
    ) : FleetMessage

    class GetOwnView(
        val reply: CompletableDeferred<FleetView>,
    ) : FleetMessage
}
