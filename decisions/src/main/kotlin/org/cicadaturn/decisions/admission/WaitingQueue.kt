package org.cicadaturn.decisions.admission

import java.util.TreeSet
import kotlin.time.Instant

/** Waiting request, which is refused at [latest] if it has not been admitted before. */
internal data class Waiting(
    val request: AdmissionRequest,
    val sequence: Long,
    val latest: Instant,
)

/** Waiting requests, ordered both by precedence and by expiry. */
internal class WaitingQueue {
    private val byOrder = TreeSet(precedence)
    private val byLatest = TreeSet(compareBy(Waiting::latest, Waiting::sequence))
    private val byTicket = HashMap<Ticket, Waiting>()

    val size: Int get() = byOrder.size

    operator fun contains(ticket: Ticket): Boolean = ticket in byTicket

    fun add(waiting: Waiting) {
        byOrder.add(waiting)
        byLatest.add(waiting)
        byTicket[waiting.request.ticket] = waiting
    }

    fun remove(ticket: Ticket): Waiting? {
        val waiting = byTicket.remove(ticket) ?: return null
        byOrder.remove(waiting)
        byLatest.remove(waiting)
        return waiting
    }

    fun first(): Waiting? = byOrder.firstOrNull()

    fun last(): Waiting? = byOrder.lastOrNull()

    fun firstToExpire(): Waiting? = byLatest.firstOrNull()

    /** Returns the number of requests to be served before [waiting]. */
    fun ahead(waiting: Waiting): Int = byOrder.headSet(waiting, false).size

    /** Returns the waiting requests in the order of service. */
    fun inOrder(): List<Waiting> = byOrder.toList()

    private companion object {
        val precedence: Comparator<Waiting> =
            compareByDescending<Waiting> { it.request.confirmation }
                .thenByDescending { it.request.priority }
                .thenBy { it.sequence }
    }
}
