package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Keeps what an entry knows of one endpoint: the last report and the own work in flight.
 *
 * A report describes a moment in the past. Own work that was sent or ended after that moment is kept apart, so
 * that a [Candidate] corrects the report by it. A ledger has one owner and is not safe for concurrent use.
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

    /** Counts a refusal because of overload: the endpoint counts as full until a report of a later moment. */
    public fun refused(now: Instant)

    /** Takes a report that describes the moment [madeAt]; a report with an older sequence is ignored. */
    public fun reported(
        report: LoadReport,
        madeAt: Instant,
    )

    /** Forgets the report, for example when the connection is lost and the endpoint may have been replaced. */
    public fun forgetReport()

    /** Returns the endpoint as a candidate; [ownLimit] as in [Candidate]. */
    public fun candidate(ownLimit: Int = Int.MAX_VALUE): Candidate
}

/** Creates the ledger of an endpoint; [network] and [rank] as in [Candidate]. */
public fun endpointLoadTracker(
    endpoint: EndpointId,
    network: Duration,
    rank: Int = 0,
): EndpointLoadTracker = ChangeLedger(endpoint, network, rank)

private class ChangeLedger(
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
        if (last != null && now - last.at < GRAIN) last.work += work else changes.addLast(Change(now, work))
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
        // Changes closer together are kept as one; bounds memory to 100 changes for each second without a report.
        val GRAIN = 10.milliseconds
    }
}
