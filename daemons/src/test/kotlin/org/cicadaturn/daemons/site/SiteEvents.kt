package org.cicadaturn.daemons.site

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Something that a caller, an endpoint or the operator of the gateways saw; times are since the start of the site. */
internal sealed interface SiteEvent

/** How a run of a request at an endpoint ended. */
internal enum class RunEnd {
    /** The endpoint has sent its whole answer. */
    FINISHED,

    /** The endpoint refused the request without running it. */
    REFUSED,

    /** The endpoint broke off. */
    BROKEN_OFF,

    /** The gateway closed the connection. */
    ABANDONED,
}

/** Run of the request [id] at [endpoint]; [lastEvent] is the last event that was sent. */
internal data class RunSeen(
    val id: String,
    val endpoint: String,
    val from: Duration,
    val until: Duration,
    val lastEvent: Int,
    val end: RunEnd,
) : SiteEvent

/** How an attempt of a caller ended. */
internal enum class AttemptEnd {
    /** A whole answer was received. */
    WHOLE,

    /** The answer has the form of a whole one, but is not the answer of the endpoint. */
    WRONG,

    /** The connection was closed before the answer was complete. */
    CLOSED,

    /** The connection was reset before the answer was complete. */
    RESET,

    /** The caller gave up. */
    LEFT,

    /** The request was not sent whole. */
    NOT_SENT,
}

/**
 * Attempt of a caller with the request [id] at [gateway].
 *
 * @property isKept true if an earlier request was sent on the same connection
 * @property sentAt time at which the request had been sent whole
 * @property limit time after [sentAt] at which the deadline or the timeout of the route ends the request
 * @property status status of the answer; 0 if none was received
 * @property lastEvent number of the last event that was received
 */
internal data class AttemptSeen(
    val id: String,
    val route: String,
    val gateway: String,
    val isKept: Boolean,
    val sentAt: Duration,
    val endedAt: Duration,
    val limit: Duration,
    val status: Int,
    val firstEvent: Int,
    val lastEvent: Int,
    val end: AttemptEnd,
) : SiteEvent

/** Planned stop of [gateway], which got SIGTERM at [signalAt] and ended at [endedAt], of itself or by SIGKILL. */
internal data class StopSeen(
    val gateway: String,
    val signalAt: Duration,
    val endedAt: Duration,
    val isKilled: Boolean,
) : SiteEvent

/** Pass [step] of a group, which began while its ranks used maps of different [versions] or content. */
internal data class MapsDiffer(
    val group: String,
    val epoch: Long,
    val step: Long,
    val versions: List<Long>,
) : SiteEvent

/** Clock of a site and the events seen so far. */
internal class SiteJournal {
    private val start = TimeSource.Monotonic.markNow()
    private val events = Channel<SiteEvent>(Channel.UNLIMITED)

    /** Number of streams that each gateway is answering. */
    val streams = MutableStateFlow(emptyMap<String, Int>())

    fun now(): Duration = start.elapsedNow()

    fun changeStreams(
        gateway: String,
        change: Int,
    ) = streams.update { it + (gateway to (it[gateway] ?: 0) + change) }

    fun record(event: SiteEvent) {
        events.trySend(event)
    }

    /** Returns the events that were recorded since the last call. */
    fun drain(): List<SiteEvent> = generateSequence { events.tryReceive().getOrNull() }.toList()
}
