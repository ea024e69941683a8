package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.DepartureReport
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Instant

/**
 * What endpoints say about taking no further requests: those that leave, and those that asked this process for a pause.
 * Has one owner and is not safe for concurrent use.
 */
public interface EndpointNotices {
    /**
     * Records what an answer of [endpoint] says, given as it was when the request was sent: a later start of it has said
     * nothing. Returns true if this process learned by it that the endpoint leaves.
     */
    public fun noticed(
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        now: Instant,
    ): Boolean

    /** Records the endpoints that leave by the [reports] of another process; returns those that were not known to. */
    public fun departuresReported(
        reports: List<DepartureReport>,
        now: Instant,
    ): List<DepartureReport>

    /** True if [takeDepartures] has something to return. */
    public val hasNews: Boolean

    /** Returns the endpoints of which other processes should be told that they leave, each once. */
    public fun takeDepartures(): List<DepartureReport>

    /** Returns all endpoints that leave. */
    public fun departures(): List<DepartureReport>

    /** Returns the endpoints that were learned to leave lately, of which another process may not have heard. */
    public fun recentDepartures(now: Instant): List<DepartureReport>
}

/** Keeps departures and pauses; calls [onDeparture] after an endpoint was learned to leave by an answer or a report. */
internal class KnownNotices(
    private val departures: Departures,
    private val pauses: EndpointPauses,
    private val onDeparture: () -> Unit,
) : EndpointNotices {
    override fun noticed(
        endpoint: LiveEndpoint,
        notice: EndpointNotice,
        now: Instant,
    ): Boolean {
        val pause = notice.pause
        if (pause is PauseNotice.Requested) pauses.requested(endpoint.id, endpoint.startedAt, pause.time, now)
        if (notice.leaving != LeavingNotice.Announced) return false
        val isNew = departures.learned(endpoint.id, endpoint.startedAt, DepartureSource.ANSWER, now)
        if (isNew) onDeparture()
        return isNew
    }

    override fun departuresReported(
        reports: List<DepartureReport>,
        now: Instant,
    ): List<DepartureReport> {
        val new = reports.filter { departures.learned(it.endpoint, it.startedAt, DepartureSource.PEER, now) }
        if (new.isNotEmpty()) onDeparture()
        return new
    }

    override val hasNews: Boolean get() = departures.hasNews

    override fun takeDepartures(): List<DepartureReport> = departures.takeNews()

    override fun departures(): List<DepartureReport> = departures.reports()

    override fun recentDepartures(now: Instant): List<DepartureReport> = departures.recentReports(now)
}
