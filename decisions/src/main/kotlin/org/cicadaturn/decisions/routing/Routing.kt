package org.cicadaturn.decisions.routing

import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Chooses an endpoint for one attempt of a request.
 *
 * A chooser may keep state such as its random source; it has one owner and is not safe for concurrent use.
 */
public typealias EndpointChooser = (RoutingInput) -> Choice

/** Amount of work. */
public data class Work(
    val requests: Int,
    val tokens: Long,
) {
    /** Returns the sum of both amounts. */
    public operator fun plus(other: Work): Work = Work(requests + other.requests, tokens + other.tokens)

    /** Returns the difference of both amounts, which may be negative. */
    public operator fun minus(other: Work): Work = Work(requests - other.requests, tokens - other.tokens)

    /** Predefined amounts. */
    public companion object {
        /** No work. */
        public val NONE: Work = Work(0, 0)
    }
}

/**
 * Endpoint that may be chosen, with what an entry process knows about it.
 *
 * @property endpoint identifier of the endpoint
 * @property report last load report; null before the first one
 * @property own work of this entry that is in flight at the endpoint
 * @property sinceReport change of the own work since the moment that [report] describes; negative if more work
 * ended than was sent
 * @property network additional time of a round trip to the endpoint's failure domain; zero for the local one
 * @property ownLimit maximum of own requests in flight, for an endpoint on probation; [Int.MAX_VALUE] for no limit
 * @property rank position of this entry among those that send to the endpoint, from 0; see [entryRank]
 * @property isFull true if the endpoint refused own work because of overload after the moment of [report]
 */
public data class Candidate(
    val endpoint: EndpointId,
    val report: LoadReport?,
    val own: Work = Work.NONE,
    val sinceReport: Work = Work.NONE,
    val network: Duration = Duration.ZERO,
    val ownLimit: Int = Int.MAX_VALUE,
    val rank: Int = 0,
    val isFull: Boolean = false,
) {
    /** Work expected at the endpoint now: the reported work, corrected by the own changes since the report. */
    val expected: Work
        get() {
            val reported = report ?: return own
            return Work(
                maxOf(own.requests, reported.running + reported.queued + sinceReport.requests),
                maxOf(own.tokens, reported.tokens + sinceReport.tokens),
            )
        }

    /** True if the endpoint cannot take its full load yet: it reported a cold back end, or has not reported. */
    val isCold: Boolean
        get() = report?.engine != EngineState.WARM
}

/**
 * Estimate of how much of a request's prompt an endpoint has cached.
 *
 * @property candidate position of the endpoint, as an argument of [RoutingInput.get]
 * @property tokens tokens of the prompt whose state is cached
 */
public data class CachedPrefix(
    val candidate: Int,
    val tokens: Int,
)

/**
 * Input of a choice.
 *
 * The candidates are the endpoints of the service that are connected, admitted, not leaving and not ejected. A
 * chooser reads the lists only during the call, so the owner may change them between calls.
 *
 * @property local candidates in the entry's own failure domain
 * @property remote candidates in other failure domains
 * @property tokens estimated tokens of prompt and answer
 * @property deadline when the complete answer is due
 * @property now time of the choice
 * @property tried endpoints that earlier attempts of the same request used; they are not chosen again
 * @property cached endpoints that may have a part of the prompt cached
 * @property entries number of entries that send to the same endpoints
 */
public data class RoutingInput(
    val local: List<Candidate>,
    val remote: List<Candidate>,
    val tokens: Long,
    val deadline: Instant,
    val now: Instant,
    val tried: Set<EndpointId> = emptySet(),
    val cached: List<CachedPrefix> = emptyList(),
    val entries: Int = 1,
) {
    /** Number of candidates. */
    val size: Int get() = local.size + remote.size

    /** Returns the candidate at [position], where the remote ones follow the local ones. */
    public operator fun get(position: Int): Candidate =
        if (position < local.size) local[position] else remote[position - local.size]
}

/** Result of a choice. */
public sealed interface Choice {
    /** The attempt goes to [endpoint]; [affinity] is true if a cached prefix determined the choice. */
    public data class Chosen(
        val endpoint: EndpointId,
        val affinity: Boolean = false,
    ) : Choice

    /** No candidate can take the attempt; nothing has run. */
    public data class None(
        val code: RefusalCode,
        val message: String,
    ) : Choice
}

/** Returns true if [candidate] can take the attempt, whatever the policy. */
internal fun RoutingInput.isEligible(candidate: Candidate): Boolean {
    if (candidate.endpoint in tried || candidate.own.requests >= candidate.ownLimit) return false
    val report = candidate.report ?: return true
    return report.accepting && report.engine != EngineState.UNREACHABLE
}

/** Returns the refusal of a request whose deadline has passed, or null. */
internal fun RoutingInput.deadlineRefusal(): Choice.None? {
    if (deadline > now) return null
    return Choice.None(RefusalCode.DEADLINE, "the deadline passed before an endpoint was chosen")
}
