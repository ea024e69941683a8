package org.cicadaturn.decisions.gateway

import org.cicadaturn.schema.generated.AdmissionState
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.LeftEndpoint
import org.cicadaturn.schema.generated.LiveEndpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Endpoints as listed by the store. Has one owner and is not safe for concurrent use.
 *
 * The copy from which a store is restored may list an endpoint in service that has said since that it leaves. Such an
 * endpoint stays drained until it starts anew; one without a start time, until it writes its entry again. The entry of
 * an endpoint that was removed without a word is drained until the endpoint writes it again, or has kept it alive for
 * longer than the platform keeps the entry of a silent endpoint.
 */
internal class EndpointEntries {
    private val entries = KeptEntries(LiveEndpoint::id)

    /** Start times of the endpoints that said in this era that they leave, and of those that were removed in it. */
    private val left = boundedMap()
    private val removed = boundedMap()

    /** Start times of the endpoints that left in earlier eras; the store may list them in service. */
    private val leftBefore = boundedMap()
    private val removedBefore = boundedMap()

    /** Entries of endpoints that were removed in an earlier era, by the time until which they count as drained. */
    private val withheld = HashMap<EndpointId, Withheld>()

    private val removedWhileStable = boundedMap()

    /** Start times of the endpoints in service that only a peer's view lacks; the store may confirm their removal. */
    private val unconfirmed = boundedMap()
    private var removedCopy: Map<EndpointId, Long>? = null

    /** Start times of the endpoints that drained or that the store removed while it was stable; copied once after a change. */
    val removedByStore: Map<EndpointId, Long>
        get() = removedCopy ?: removedWhileStable.toMap().also { removedCopy = it }

    private class Withheld(
        val endpoint: LiveEndpoint,
        val until: Instant,
    )

    val values: List<LiveEndpoint> get() = entries.values
    val kept: Set<EndpointId> get() = entries.kept

    /** Endpoints that left in earlier eras, for peers that know only what the copy lists. */
    val departures: List<LeftEndpoint> get() = leftBefore.map { (id, startedAt) -> LeftEndpoint(id, startedAt) }

    /** Records that what was learned so far is of an earlier era than what follows. */
    fun beginEra() {
        leftBefore.putAll(left)
        removedBefore.putAll(removed)
        left.clear()
        removed.clear()
    }

    /** Adds endpoints that left in earlier eras, as a peer knows. */
    fun addDepartures(departures: List<LeftEndpoint>) {
        departures.forEach { leftBefore[it.id] = it.startedAt }
        entries.values.filter { isContradicted(it) }.forEach { entries.put(it.copy(state = AdmissionState.DRAINED)) }
    }

    /**
     * Replaces the entries with [content]; those in service that it lacks are kept until [keepUntil] if that is set.
     *
     * @param isRestored true if the content is the first of an era, so that it may be older than what is known
     * @param isFromStore false if a peer has relayed the content, which does not tell whether entries lapsed in an outage
     */
    fun replace(
        content: List<LiveEndpoint>,
        keepUntil: Instant?,
        isRestored: Boolean,
        now: Instant,
        isFromStore: Boolean,
    ) {
        val kept = entries.kept.toSet()
        entries
            .missingFrom(content)
            .filter { keepUntil != null || it !in kept }
            .forEach { remove(it, keepUntil, isFromStore) }
        content.forEach { put(it, isRestored, now) }
        if (isFromStore && keepUntil == null) unconfirmed.keys.toList().forEach { confirmRemoval(it) }
    }

    private fun confirmRemoval(id: EndpointId) {
        val startedAt = unconfirmed.remove(id) ?: return
        removedWhileStable[id] = startedAt
        removedCopy = null
    }

    /** Applies an entry that its endpoint has written in this era. */
    fun change(endpoint: LiveEndpoint) {
        removedBefore.remove(endpoint.id)
        withheld.remove(endpoint.id)
        if (endpoint.startedAt == 0L) leftBefore.remove(endpoint.id)
        put(endpoint, isRestored = false, Instant.DISTANT_PAST)
    }

    private fun put(
        endpoint: LiveEndpoint,
        isRestored: Boolean,
        now: Instant,
    ) {
        val id = endpoint.id
        removed.remove(id)
        unconfirmed.remove(id)
        if (removedWhileStable.remove(id) != null) removedCopy = null
        if (leftBefore[id].let { it != null && it != endpoint.startedAt }) leftBefore.remove(id)
        if (endpoint.state == AdmissionState.DRAINED) left[id] = endpoint.startedAt else left.remove(id)
        val wasWithheld = withheld[id]?.endpoint?.startedAt == endpoint.startedAt
        val wasRemoved = removedBefore.remove(id) == endpoint.startedAt || wasWithheld
        if (isRestored && wasRemoved) withheld[id] = Withheld(endpoint, now + WITHHOLDING_TIME)
        val isDrained = isContradicted(endpoint) || withheld[id]?.endpoint?.startedAt == endpoint.startedAt
        entries.put(if (isDrained) endpoint.copy(state = AdmissionState.DRAINED) else endpoint)
    }

    private fun isContradicted(endpoint: LiveEndpoint): Boolean = leftBefore[endpoint.id] == endpoint.startedAt

    /** Removes the entry of [id]; one in service is kept until [keepUntil] if that is set. */
    fun remove(
        id: EndpointId,
        keepUntil: Instant?,
        isFromStore: Boolean = true,
    ) {
        val entry = entries[id]
        if (entry == null) {
            if (isFromStore && keepUntil == null) confirmRemoval(id)
            return
        }
        val wasWithheld = withheld.remove(id) != null
        if (keepUntil != null && entry.state == AdmissionState.IN_SERVICE) {
            entries.keep(id, keepUntil)
            return
        }
        entries.remove(id)
        if (entry.state == AdmissionState.IN_SERVICE || wasWithheld) removed[id] = entry.startedAt
        unconfirmed[id] = entry.startedAt
        // An endpoint that was drained has announced its end, whoever tells of the removal.
        val wasAnnounced = entry.state == AdmissionState.DRAINED && !wasWithheld
        if (isFromStore || wasAnnounced) confirmRemoval(id)
    }

    /** Removes the entries that were kept until [now] and returns them. */
    fun expire(now: Instant): List<LiveEndpoint> {
        withheld.values.filter { it.until <= now }.forEach { expired ->
            withheld.remove(expired.endpoint.id)
            if (!isContradicted(expired.endpoint)) entries.put(expired.endpoint)
        }
        return entries.expire(now).onEach { removed[it.id] = it.startedAt }
    }

    /** Returns when the next entry changes without a call, or null if none does. */
    fun nextExpiry(): Instant? = (withheld.values.map { it.until } + listOfNotNull(entries.nextExpiry())).minOrNull()

    internal companion object {
        /** Live endpoints renew their entries within about two seconds after the store is available again. */
        val RENEWAL_TIME: Duration = 2_200.milliseconds

        /** The platform removes the entry of an endpoint that is silent for three heartbeats of about a second. */
        private val WITHHOLDING_TIME: Duration = 5.seconds

        /** More than the endpoints of the largest fleet planned for, 3,800. */
        private const val MAX_REMEMBERED = 8_192

        private fun boundedMap(): MutableMap<EndpointId, Long> =
            object : LinkedHashMap<EndpointId, Long>() {
                override fun removeEldestEntry(eldest: Map.Entry<EndpointId, Long>): Boolean = size > MAX_REMEMBERED
            }
    }
}
