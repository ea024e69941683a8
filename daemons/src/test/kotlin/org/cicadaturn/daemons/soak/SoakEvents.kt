package org.cicadaturn.daemons.soak

import kotlinx.coroutines.channels.Channel
import org.cicadaturn.daemons.site.SiteEvent
import org.cicadaturn.daemons.site.SiteJournal
import kotlin.time.Duration

/** Something that the soak did or saw, beside what callers and endpoints see. */
internal sealed interface SoakEvent

/** Request [number] that a caller was given. */
internal data class DemandSeen(
    val number: Int,
    val at: Duration,
) : SoakEvent

/** Fault that lasted [from] to [until]. */
internal data class FaultSeen(
    val name: String,
    val from: Duration,
    val until: Duration,
) : SoakEvent

/** Start of a process of [gateway]; [readyAt] is null if it ended before it was ready. */
internal data class StartSeen(
    val gateway: String,
    val at: Duration,
    val readyAt: Duration?,
) : SoakEvent

/** End of a process that the soak had not ended. */
internal data class EndSeen(
    val gateway: String,
    val startedAt: Duration,
    val endedAt: Duration,
    val code: Int,
    val lastLines: List<String>,
) : SoakEvent

/** Faults up to [faultsEnd], and service without faults up to [until]; [unready] were not ready in time after them. */
internal data class RoundSeen(
    val faultsEnd: Duration,
    val until: Duration,
    val unready: List<String>,
) : SoakEvent

/** Events of a soak, with those of its site in [site]. */
internal class SoakJournal {
    private val events = Channel<SoakEvent>(Channel.UNLIMITED)
    val site = SiteJournal()

    fun now(): Duration = site.now()

    fun record(event: SoakEvent) {
        events.trySend(event)
    }

    /** Returns the events that were recorded since the last call, of the soak and of the site. */
    fun drain(): Pair<List<SoakEvent>, List<SiteEvent>> =
        generateSequence { events.tryReceive().getOrNull() }.toList() to site.drain()
}
