package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Tracks the load of one endpoint as an entry process knows it: the last report and the entry's own work in flight.
 *
 * A report describes a moment in the past. Own work that was sent or ended after that moment is counted separately, so
 * that a [Candidate] can correct the report by it. A tracker has one owner and is not safe for concurrent use.
 */
public interface EndpointLoadTracker {
    /** Counts a request that is being sent. */
    public fun sent(
        tokens: Long,
        now: Instant,
    )

    /** Counts the end of a request that was [sent]. */
    public fun ended(
        tokens: Long,
        now: Instant,
    )

    /** Records a refusal because of overload; the endpoint counts as full until a report of [now] or a later moment. */
    public fun refused(now: Instant)

    /** Records a report that describes the moment [madeAt]; one without a higher sequence number is ignored. */
    public fun reported(
        report: LoadReport,
        madeAt: Instant,
    )

    /** Drops the report, for example when the connection is lost and the endpoint may have been replaced. */
    public fun forgetReport()

    /** Returns the endpoint as a candidate; [ownLimit] is as in [Candidate]. */
    public fun candidate(ownLimit: Int = Int.MAX_VALUE): Candidate
}

/** Returns a tracker of [endpoint] without any work; [network] and [rank] are as in [Candidate]. */
public fun endpointLoadTracker(
    endpoint: EndpointId,
    network: Duration,
    rank: Int = 0,
): EndpointLoadTracker = ChangeTracker(endpoint, network, rank)

private class ChangeTracker(
    private val endpoint: EndpointId,
    private val network: Duration,
    private val rank: Int,
) : EndpointLoadTracker {
    private class Change(
        val at: Instant,
        var work: Work,
    )

    private val changes = ArrayDeque<Change>()
    private var own = Work.NONE
    private var sinceReport = Work.NONE
    private var report: LoadReport? = null
    private var refusedAt: Instant? = null

    override fun sent(
        tokens: Long,
        now: Instant,
    ) = add(Work(1, tokens), now)

    override fun ended(
        tokens: Long,
        now: Instant,
    ) = add(Work(-1, -tokens), now)

    private fun add(
        work: Work,
        now: Instant,
    ) {
        own += work
        sinceReport += work
        val last = changes.lastOrNull()
        if (last != null && now - last.at < MERGE_INTERVAL) last.work += work else changes.addLast(Change(now, work))
    }

    override fun refused(now: Instant) {
        refusedAt = now
    }

    override fun reported(
        report: LoadReport,
        madeAt: Instant,
    ) {
        if (report.sequence <= (this.report?.sequence ?: Long.MIN_VALUE)) return
        this.report = report
        if (refusedAt.let { it != null && it <= madeAt }) refusedAt = null
        while (changes.isNotEmpty() && changes.first().at <= madeAt) sinceReport -= changes.removeFirst().work
    }

    override fun forgetReport() {
        report = null
    }

    override fun candidate(ownLimit: Int): Candidate =
        Candidate(
            endpoint = endpoint,
            report = report,
            own = own,
            sinceReport = sinceReport,
            network = network,
            ownLimit = ownLimit,
            rank = rank,
            isFull = refusedAt != null,
        )

    private companion object {
        // Changes closer together are merged, which bounds memory to 100 changes for each second without a report.
        val MERGE_INTERVAL = 10.milliseconds
    }
}
