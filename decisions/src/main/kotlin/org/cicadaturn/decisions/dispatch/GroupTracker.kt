package org.cicadaturn.decisions.dispatch

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
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
     * again, and counts it as sent. One request at an interval is enough.
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

private class ReportingGroupTracker(
    private val askInterval: () -> Duration,
) : GroupTracker {
    private class Group {
        val members = LinkedHashSet<EndpointId>()
        var epoch = 0L
        var downSince: Instant? = null
        var upSince = Instant.DISTANT_PAST
        var downEpoch = 0L
        var suspectUntil = Instant.DISTANT_PAST
        var unansweredAsks = 0
        var isSilent = false
        var mayProbe = false
        var nextProbeAt = Instant.DISTANT_PAST
        var aliveAt = Instant.DISTANT_PAST
        var nextAskAt = Instant.DISTANT_PAST
        var asked = 0
    }

    private val groups = HashMap<String, Group>()
    private val names = HashMap<EndpointId, String>()

    /** Endpoints whose group is not known, with the time from which they may be asked. */
    private val unknown = LinkedHashMap<EndpointId, Instant>()

    override fun retain(endpoints: Set<EndpointId>) {
        unknown.keys.retainAll(endpoints)
        names.keys.retainAll(endpoints)
        groups.values.forEach { it.members.retainAll(endpoints) }
        groups.values.removeIf { it.members.isEmpty() }
    }

    override fun discover(endpoint: EndpointId) {
        if (endpoint !in names) unknown.putIfAbsent(endpoint, Instant.DISTANT_PAST)
    }

    override fun forget(endpoint: EndpointId) {
        leave(endpoint, names.remove(endpoint) ?: return)
    }

    private fun leave(
        endpoint: EndpointId,
        name: String,
    ) {
        val group = groups[name] ?: return
        group.members -= endpoint
        if (group.members.isEmpty()) groups -= name
    }

    override fun reported(
        endpoint: EndpointId,
        report: GroupReport?,
        now: Instant,
    ) {
        if (report == null) return recordSilence(endpoint, now)
        if (report.group == null) return
        unknown.remove(endpoint)
        val group = assign(endpoint, report.group)
        group.unansweredAsks = 0
        if (report.epoch < group.epoch) return
        group.epoch = report.epoch
        val since = group.downSince
        when {
            !report.isOpen -> markDown(group, now)
            since == null -> group.suspectUntil = Instant.DISTANT_PAST
            group.isSilent -> markAccepting(group, now)
            report.epoch > group.downEpoch -> markAccepting(group, now)
            // Ranks that are cut off from each other go on reporting the epoch in which the group failed as open.
            now - since >= REPORT_LAG -> group.mayProbe = true
        }
    }

    /** Several ranks are asked in turn, as one may be cut off while the others answer. */
    private fun recordSilence(
        endpoint: EndpointId,
        now: Instant,
    ) {
        val group = knownGroup(endpoint) ?: return
        group.unansweredAsks += 1
        if (group.downSince != null || group.unansweredAsks < MIN_UNANSWERED_ASKS) return
        markDown(group, now)
        group.isSilent = true
    }

    private fun assign(
        endpoint: EndpointId,
        name: String,
    ): Group {
        val group = groups.getOrPut(name) { Group() }
        val earlier = names.put(endpoint, name)
        if (earlier != null && earlier != name) leave(endpoint, earlier)
        group.members += endpoint
        return group
    }

    private fun markDown(
        group: Group,
        now: Instant,
    ) {
        group.isSilent = false
        group.mayProbe = false
        if (group.downSince == null) {
            group.downSince = now
            group.downEpoch = group.epoch
            group.nextAskAt = now + askInterval()
        }
    }

    private fun markAccepting(
        group: Group,
        now: Instant,
    ) {
        if (group.downSince != null) group.upSince = now
        group.downSince = null
        group.mayProbe = false
        group.isSilent = false
        group.unansweredAsks = 0
        group.suspectUntil = Instant.DISTANT_PAST
    }

    override fun refused(
        endpoint: EndpointId,
        now: Instant,
    ) {
        knownGroup(endpoint)?.let { markDown(it, now) }
    }

    override fun unreachable(
        endpoint: EndpointId,
        now: Instant,
    ) {
        val group = knownGroup(endpoint) ?: return
        if (now >= group.suspectUntil && group.downSince == null) group.nextAskAt = now
        group.suspectUntil = now + SUSPICION
    }

    override fun accepted(
        endpoint: EndpointId,
        now: Instant,
    ) {
        knownGroup(endpoint)?.let { markAccepting(it, now) }
        progressed(endpoint, now)
    }

    override fun progressed(
        endpoint: EndpointId,
        now: Instant,
    ) {
        knownGroup(endpoint)?.aliveAt = now
    }

    override fun lastProgress(endpoint: EndpointId): Instant = knownGroup(endpoint)?.aliveAt ?: Instant.DISTANT_PAST

    private fun knownGroup(endpoint: EndpointId): Group? = names[endpoint]?.let { groups[it] }

    override fun health(
        endpoint: EndpointId,
        now: Instant,
    ): GroupHealth {
        val group = knownGroup(endpoint) ?: return GroupHealth.ACCEPTING
        return when {
            group.isSilent -> GroupHealth.UNREACHABLE
            group.downSince != null -> GroupHealth.DOWN
            now < group.suspectUntil -> GroupHealth.SUSPECT
            else -> GroupHealth.ACCEPTING
        }
    }

    override fun tryProbe(
        endpoint: EndpointId,
        now: Instant,
    ): Boolean {
        val group = knownGroup(endpoint) ?: return false
        if (!group.mayProbe || now < group.nextProbeAt) return false
        group.nextProbeAt = now + PROBE_INTERVAL
        return true
    }

    override fun isKnown(endpoint: EndpointId): Boolean = endpoint in names

    override fun groupOf(endpoint: EndpointId): String = names[endpoint] ?: endpoint.text

    override fun ranksOf(endpoint: EndpointId): Set<EndpointId> = knownGroup(endpoint)?.members ?: setOf(endpoint)

    override fun downSince(endpoint: EndpointId): Instant? = knownGroup(endpoint)?.downSince

    override fun upSince(endpoint: EndpointId): Instant = knownGroup(endpoint)?.upSince ?: Instant.DISTANT_PAST

    override fun endpointsToAsk(now: Instant): List<EndpointId> {
        val due = unknown.filterValues { it <= now }.keys.take(MAX_DISCOVERIES)
        due.forEach { unknown[it] = now + DISCOVERY_INTERVAL }
        val ranks = groups.values.filter { isWatched(it, now) && it.nextAskAt <= now }.map { nextRank(it, now) }
        return due + ranks
    }

    private fun isWatched(
        group: Group,
        now: Instant,
    ): Boolean = group.downSince != null || now < group.suspectUntil

    private fun nextRank(
        group: Group,
        now: Instant,
    ): EndpointId {
        group.nextAskAt = now + askInterval()
        group.asked += 1
        return group.members.elementAt(group.asked % group.members.size)
    }

    override fun nextAsk(now: Instant): Instant? {
        val watched = groups.values.filter { isWatched(it, now) }
        return (unknown.values + watched.map { it.nextAskAt }).minOrNull()
    }

    private companion object {
        /** Time for which an unreachable rank casts doubt on its group, a little longer than a group stalls. */
        val SUSPICION = 2.seconds

        /** Ranks in a row that do not answer before their group counts as unreachable. */
        const val MIN_UNANSWERED_ASKS = 3

        /** Longest delay with which a report reflects the state of a group. */
        val REPORT_LAG = 600.milliseconds

        /** Time between two requests that are sent to find out whether a group runs again. */
        val PROBE_INTERVAL = 1.seconds

        /** Time between two questions to an endpoint that has not told its group. */
        val DISCOVERY_INTERVAL = 1.seconds

        /** Endpoints that are asked for their group at once, which bounds the connections that this opens. */
        const val MAX_DISCOVERIES = 16
    }
}
