package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import org.cicadaturn.decisions.gateway.FleetState
import org.cicadaturn.schema.generated.FleetView
import org.cicadaturn.schema.generated.StoreReport
import org.cicadaturn.schema.generated.StoreReportRequest

/** Fleet whose [state] a test sets. */
internal class StateFleet(
    override val state: MutableStateFlow<FleetState>,
) : Fleet {
    override suspend fun ownView(): FleetView = state.value.view

    override suspend fun storeReport(request: StoreReportRequest): StoreReport? = null
}
