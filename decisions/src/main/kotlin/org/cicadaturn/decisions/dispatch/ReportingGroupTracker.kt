package org.cicadaturn.decisions.dispatch

import org.cicadaturn.schema.generated.EndpointId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tracker that learns of the end of an outage from reports, and from requests at the time at which a group can run. */
internal class ReportingGroupTracker(
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

        /** Expected return after which requests are sent, and when the last of them was sent unless it was refused. */
        var triedReturn = Instant.DISTANT_PAST
        var triedAt: Instant? = null

        /** Until then the epoch of a group that runs again is asked for, as a request and not a report has told of it. */
        var confirmUntil = Instant.DISTANT_PAST
        var aliveAt = Instant.DISTANT_PAST
        var nextAskAt = Instant.DISTANT_PAST
        var asked = 0
    }

    private val groups = HashMap<String, Group>()
    private val names = HashMap<EndpointId, String>()

    /** Times from which the groups of endpoints can run after the start of these. */
    private val openings = HashMap<EndpointId, Instant>()

    /** Endpoints whose group is not known, with the time from which they may be asked. */
    private val unknown = LinkedHashMap<EndpointId, Instant>()

    override fun retain(endpoints: Set<EndpointId>) {
        unknown.keys.retainAll(endpoints)
        names.keys.retainAll(endpoints)
        openings.keys.retainAll(endpoints)
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

    override fun started(
        endpoint: EndpointId,
        opensAt: Instant,
    ) {
        openings[endpoint] = opensAt + MAX_OPENING_DELAY
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
        if (report.isOpen && report.epoch > group.downEpoch) group.confirmUntil = Instant.DISTANT_PAST
        val since = group.downSince
        when {
            // The report may be from before the end of the outage, which a request has found.
            !report.isOpen && now - group.upSince < REPORT_LAG -> Unit
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
        val group = knownGroup(endpoint) ?: return
        group.triedAt = null
        markDown(group, now)
    }

    override fun unreachable(
        endpoint: EndpointId,
        now: Instant,
    ) {
        val group = knownGroup(endpoint) ?: return
        if (now >= group.suspectUntil && group.downSince == null) group.nextAskAt = now
        group.suspectUntil = now + SUSPICION
        group.triedAt = null
    }

    override fun accepted(
        endpoint: EndpointId,
        now: Instant,
    ) {
        knownGroup(endpoint)?.let {
            if (expectedReturn(it, now) != null) recordReturn(it, now) else markAccepting(it, now)
        }
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
        val opensAt = expectedReturn(group, now)
        return if (opensAt != null && now >= opensAt) tryReturn(group, opensAt, now) else tryReported(group, now)
    }

    private fun tryReported(
        group: Group,
        now: Instant,
    ): Boolean {
        if (!group.mayProbe || now < group.nextProbeAt) return false
        group.nextProbeAt = now + PROBE_INTERVAL
        return true
    }

    /**
     * Decides whether a request is sent after [opensAt]. A group that does not run refuses a request at once, but one that
     * runs accepts it with the first event, which takes several passes; so the lack of a refusal tells of the return.
     */
    private fun tryReturn(
        group: Group,
        opensAt: Instant,
        now: Instant,
    ): Boolean {
        if (opensAt != group.triedReturn) {
            group.triedReturn = opensAt
            group.nextProbeAt = opensAt
            group.triedAt = null
        }
        if (now < group.nextProbeAt) return false
        if (group.triedAt != null) recordReturn(group, now)
        group.triedAt = now
        group.nextProbeAt = now + (now - opensAt).coerceIn(MAX_REFUSAL_TIME, PROBE_INTERVAL)
        return true
    }

    /** Records that a group runs before a report of its epoch, which is then asked for. */
    private fun recordReturn(
        group: Group,
        now: Instant,
    ) {
        group.confirmUntil = now + CONFIRMATION
        markAccepting(group, now)
    }

    /** Returns when [group], which is down, can run after the start of a rank; null if none has started, or long ago. */
    private fun expectedReturn(
        group: Group,
        now: Instant,
    ): Instant? {
        val since = group.downSince ?: return null
        val opensAt = group.members.mapNotNull { openings[it] }.maxOrNull() ?: return null
        return opensAt.takeIf { it > since && now - it < MAX_RETURN_DELAY }
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
    ): Boolean = group.downSince != null || now < maxOf(group.suspectUntil, group.confirmUntil)

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

        /** Time by which groups of ranks have been seen to accept requests after the time at which they can, 30 to 50 ms. */
        val MAX_OPENING_DELAY = 60.milliseconds

        /**
         * Time within which a refusal arrives, and the time between the first two requests at an expected return; each
         * further interval is as long as the time passed.
         */
        val MAX_REFUSAL_TIME = 50.milliseconds

        /** Time after an expected return from which on another rank is taken to be missing. */
        val MAX_RETURN_DELAY = 2.seconds

        /** Time for which the epoch of a group that runs again is asked for; reports follow within their lag. */
        val CONFIRMATION = 2.seconds

        /** Time between two questions to an endpoint that has not told its group. */
        val DISCOVERY_INTERVAL = 1.seconds

        /** Endpoints that are asked for their group at once, which bounds the connections that this opens. */
        const val MAX_DISCOVERIES = 16
    }
}
