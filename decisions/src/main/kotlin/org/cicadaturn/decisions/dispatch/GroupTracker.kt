package org.cicadaturn.decisions.dispatch

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * What an endpoint reports about the group that it is a rank of.
 *
 * @property group name of the group; null if the endpoint is not part of one
 * @property epoch number that rises each time the group forms again
 * @property isOpen true if the group accepts requests
 */
public data class GroupReport(
    val group: String?,
    val epoch: Long,
    val isOpen: Boolean,
)

/** Whether the group of an endpoint can run requests, as far as is known. */
public enum class GroupHealth {
    /** Nothing speaks against sending requests. */
    ACCEPTING,

    /** A rank does not answer this process; the group may stall, or only the path to that rank is cut. */
    SUSPECT,

    /** A rank has refused a request although it had free places, or reports that the group is broken. */
    DOWN,

    /** No rank answers this process; others may still reach the group. */
    UNREACHABLE,
}

/**
 * Tracks which endpoints form a group and whether the group runs. Has one owner and is not safe for concurrent use.
 *
 * All ranks of a group run each pass together, so the group and not the rank is the unit of failure: what one rank
 * refuses, reports or accepts holds for all. An endpoint whose group is not known counts as a group of its own.
 */
public interface GroupTracker {
    /** Forgets all endpoints other than [endpoints]. */
    public fun retain(endpoints: Set<EndpointId>)

    /** Adds [endpoint], which is asked for its group unless that is known. */
    public fun discover(endpoint: EndpointId)

    /** Forgets the group of [endpoint], for example because it has restarted. */
    public fun forget(endpoint: EndpointId)

    /** Records that [endpoint] has started, so that its group can run from [opensAt] on, unless other ranks are missing. */
    public fun started(
        endpoint: EndpointId,
        opensAt: Instant,
    )

    /** Records the [report] of [endpoint]; null if it did not answer. */
    public fun reported(
        endpoint: EndpointId,
        report: GroupReport?,
        now: Instant,
    )

    /** Records that [endpoint] refused a request although it had free places. */
    public fun refused(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Records that [endpoint] accepts no connections, or has ended one within a request. */
    public fun unreachable(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Records that [endpoint] accepted a request. */
    public fun accepted(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Records that [endpoint] sent a part of an answer. */
    public fun progressed(
        endpoint: EndpointId,
        now: Instant,
    )

    /** Returns when a rank of the group of [endpoint] last accepted a request or sent a part of an answer. */
    public fun lastProgress(endpoint: EndpointId): Instant

    /** Returns the health of the group of [endpoint]. */
    public fun health(
        endpoint: EndpointId,
        now: Instant,
    ): GroupHealth

    /**
     * Returns true if a request may be sent to the group of [endpoint] although it is down, to find out whether it runs
     * again, and counts it as sent. One request at an interval is enough; the interval is short at the time at which the
     * start of a rank lets the group run again, and grows from then on. There, the group runs if one is not refused.
     */
    public fun tryProbe(
        endpoint: EndpointId,
        now: Instant,
    ): Boolean

    /** Returns true if [endpoint] has told its group. */
    public fun isKnown(endpoint: EndpointId): Boolean

    /** Returns the name of the group of [endpoint]. */
    public fun groupOf(endpoint: EndpointId): String

    /** Returns the known ranks of the group of [endpoint]. */
    public fun ranksOf(endpoint: EndpointId): Set<EndpointId>

    /** Returns since when the group of [endpoint] has been down, or null if it is not. */
    public fun downSince(endpoint: EndpointId): Instant?

    /** Returns when the last outage of the group of [endpoint] ended; long ago if it had none. */
    public fun upSince(endpoint: EndpointId): Instant

    /** Returns the endpoints whose report is due, and counts them as asked. */
    public fun endpointsToAsk(now: Instant): List<EndpointId>

    /** Returns when the next report will be due, or null if none is needed. */
    public fun nextAsk(now: Instant): Instant?
}

/**
 * Returns a tracker that knows no endpoints.
 *
 * While a group is down, one of its ranks is asked every [askInterval]; a longer interval suits a process that is one of
 * many. A group that does not answer is asked at the same rate, as it is the only way to learn of its return.
 */
public fun groupTracker(askInterval: () -> Duration = { 150.milliseconds }): GroupTracker =
    ReportingGroupTracker(askInterval)
