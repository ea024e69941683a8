package org.cicadaturn.decisions.routing

import org.cicadaturn.decisions.configuration.ConfigurationIndex
import org.cicadaturn.decisions.confirmation.preferredEndpoint
import org.cicadaturn.schema.generated.Endpoint
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointView
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Request, as far as the choice of an endpoint depends on it.
 *
 * @property service service that is requested
 * @property tokens estimated tokens of prompt and answer
 * @property deadline when the complete answer is due
 * @property tried endpoints that earlier attempts used
 * @property shard confirmation shard, for a call that must run at most once
 */
public data class RoutingQuery(
    val service: ServiceId,
    val tokens: Long,
    val deadline: Instant,
    val tried: Set<EndpointId> = emptySet(),
    val shard: Int? = null,
)

/** Outcome of an attempt, as far as it says something about the endpoint. */
public sealed interface AttemptOutcome {
    /** The head of the answer arrived after [time]. */
    public data class Answered(
        val time: Duration,
    ) : AttemptOutcome

    /** The endpoint broke off the answer, or did not answer in time. */
    public data object Failed : AttemptOutcome

    /** The endpoint refused the attempt, or the caller left; neither says anything about the back end. */
    public data object Neutral : AttemptOutcome
}

/**
 * Keeps what an entry process knows about its endpoints and chooses among them.
 *
 * A directory has one owner and is not safe for concurrent use.
 */
public class EndpointDirectory internal constructor(
    private val failureDomain: FailureDomainId,
    private val remoteCost: Duration,
    private val chooser: EndpointChooser,
) {
    private class KnownEndpoint(
        var endpoint: Endpoint,
        val load: EndpointLoadTracker,
    ) {
        var inService = false
        var connected = false
        var leaving = false
    }

    private val knownEndpoints = LinkedHashMap<EndpointId, KnownEndpoint>()
    private val outliers = HashMap<ServiceId, OutlierDetector>()

    /** Updates the endpoints and their states from [index]; the load and health of those that remain are kept. */
    public fun configure(
        index: ConfigurationIndex,
        now: Instant,
    ) {
        val endpoints = index.configuration.endpoints.associateBy { it.id }
        knownEndpoints.keys.retainAll(endpoints.keys)
        endpoints.values.forEach { e ->
            val network = if (e.failureDomain == failureDomain) Duration.ZERO else remoteCost
            val known = knownEndpoints.getOrPut(e.id) { KnownEndpoint(e, endpointLoadTracker(e.id, network)) }
            known.endpoint = e
            known.inService = index.isInService(e)
        }
        knownEndpoints.values.groupBy { it.endpoint.service }.forEach { (service, members) ->
            detector(service).updateMembers(members.map { it.endpoint.id }.toSet(), now)
        }
    }

    /** Records whether a link to [id] is up, and drops the load report of the previous link. */
    public fun connected(
        id: EndpointId,
        up: Boolean,
    ) {
        val known = knownEndpoints[id] ?: return
        known.connected = up
        known.leaving = false
        known.load.forgetReport()
    }

    /** Records that the endpoint process accepts no new requests on the current link. */
    public fun leaving(id: EndpointId) {
        knownEndpoints[id]?.leaving = true
    }

    /** Records a load report from the link to [id]; a report of another endpoint or service is ignored. */
    public fun reported(
        id: EndpointId,
        report: LoadReport,
        now: Instant,
    ) {
        val known = knownEndpoints[id] ?: return
        if (report.endpoint != id || report.service != known.endpoint.service) return
        known.load.reported(report, now)
    }

    /** Chooses an endpoint for [query] and counts its work as sent there, in time linear in the number of endpoints. */
    public fun choose(
        query: RoutingQuery,
        now: Instant,
    ): Choice {
        val (local, remote) =
            knownEndpoints.values
                .filter { it.endpoint.service == query.service && isCandidate(it) }
                .mapNotNull { candidate(it, now) }
                .partition { it.network == Duration.ZERO }
        val input = RoutingInput(local, remote, query.tokens, query.deadline, now, query.tried)
        val choice = preferred(query, input) ?: chooser(input)
        if (choice is Choice.Chosen) knownEndpoints[choice.endpoint]?.load?.sent(query.tokens, now)
        return choice
    }

    /**
     * Returns the endpoint that normally owns the shard of [query], if it can take the request.
     *
     * Using one process for each shard keeps conflicts in the store rare; the choice does not affect safety.
     */
    private fun preferred(
        query: RoutingQuery,
        input: RoutingInput,
    ): Choice? {
        val shard = query.shard ?: return null
        val eligible = (0 until input.size).map { input[it] }.filter { input.isEligible(it) }
        val owner = preferredEndpoint(query.service, shard, eligible.map { it.endpoint }) ?: return null
        val candidate = eligible.first { it.endpoint == owner }
        val bound = candidate.report?.bound ?: return null
        return if (candidate.expected.requests < bound) Choice.Chosen(owner) else null
    }

    /** Subtracts the work of an attempt at [id] that has ended, and records its outcome. */
    public fun finished(
        id: EndpointId,
        tokens: Long,
        end: AttemptOutcome,
        now: Instant,
    ) {
        val known = knownEndpoints[id] ?: return
        known.load.ended(tokens, now)
        val detector = detector(known.endpoint.service)
        when (end) {
            is AttemptOutcome.Answered -> detector.answered(id, end.time, now)
            AttemptOutcome.Failed -> detector.failed(id, now)
            AttemptOutcome.Neutral -> return
        }
    }

    /** Returns the endpoints as a state dump shows them, in the order in which they were first configured. */
    public fun views(now: Instant): List<EndpointView> =
        knownEndpoints.values.map {
            val candidate = it.load.candidate()
            EndpointView(
                endpoint = it.endpoint.id,
                failureDomain = it.endpoint.failureDomain,
                service = it.endpoint.service,
                connected = it.connected,
                leaving = it.leaving || !it.inService,
                ejected = health(it, now) == EndpointHealth.EJECTED,
                inFlight = candidate.own.requests,
                load = candidate.report,
            )
        }

    private fun isCandidate(known: KnownEndpoint): Boolean = known.connected && known.inService && !known.leaving

    private fun candidate(
        known: KnownEndpoint,
        now: Instant,
    ): Candidate? =
        when (health(known, now)) {
            EndpointHealth.HEALTHY -> known.load.candidate()
            EndpointHealth.PROBATION -> known.load.candidate(ownLimit = 1)
            EndpointHealth.EJECTED -> null
        }

    private fun health(
        known: KnownEndpoint,
        now: Instant,
    ): EndpointHealth = detector(known.endpoint.service).health(known.endpoint.id, now)

    private fun detector(service: ServiceId): OutlierDetector = outliers.getOrPut(service) { outlierDetector() }
}

/**
 * Returns an empty directory of an entry process in [failureDomain].
 *
 * [remoteCost] is the additional time of a round trip to another failure domain; it must be positive.
 */
public fun endpointDirectory(
    failureDomain: FailureDomainId,
    remoteCost: Duration,
    chooser: EndpointChooser,
): EndpointDirectory {
    require(remoteCost > Duration.ZERO) { "remote cost $remoteCost must be positive" }
    return EndpointDirectory(failureDomain, remoteCost, chooser)
}
