package org.cicadaturn.tasks.gateway

import org.cicadaturn.decisions.gateway.EndpointNotice
import org.cicadaturn.decisions.gateway.WithheldEndpoint
import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.LiveEndpoint
import org.cicadaturn.schema.generated.ProcessId

/** Notices of endpoints none of which leaves. */
internal object NoNotices : ReportedNotices {
    override fun noticed(
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        requestId: String?,
    ) = Unit

    override fun departuresReported(
        reports: List<DepartureReport>,
        sender: ProcessId?,
    ) = Unit

    override suspend fun takeDepartures(): List<DepartureReport> = emptyList()

    override suspend fun departures(lately: Boolean): List<DepartureReport> = emptyList()

    override suspend fun withheld(): List<WithheldEndpoint> = emptyList()
}
