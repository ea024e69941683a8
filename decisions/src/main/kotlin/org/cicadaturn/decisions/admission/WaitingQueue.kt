package org.cicadaturn.decisions.admission

import java.util.TreeSet
import kotlin.time.Instant

/** Waiting request, which is refused at [expiresAt] unless it has been admitted before. */
internal data class Waiting(
    val request: AdmissionRequest,
    val sequence: Long,
    val expiresAt: Instant,
)

/** Waiting requests, ordered both by precedence and by expiry. */
internal class WaitingQueue {
    private val byPrecedence = TreeSet(precedence)
    private val byExpiry = TreeSet(compareBy(Waiting::expiresAt, Waiting::sequence))
    private val byTicket = HashMap<Ticket, Waiting>()

    val size: Int get() = byPrecedence.size

    operator fun contains(ticket: Ticket): Boolean = ticket in byTicket

    fun add(waiting: Waiting) {
        byPrecedence.add(waiting)
        byExpiry.add(waiting)
        byTicket[waiting.request.ticket] = waiting
    }

    fun remove(ticket: Ticket): Waiting? {
        val waiting = byTicket.remove(ticket) ?: return null
        byPrecedence.remove(waiting)
        byExpiry.remove(waiting)
        return waiting
    }

    fun first(): Waiting? = byPrecedence.firstOrNull()

    fun last(): Waiting? = byPrecedence.lastOrNull()

    fun firstToExpire(): Waiting? = byExpiry.firstOrNull()

    /** Returns the number of requests to be served before [waiting]. */
    fun ahead(waiting: Waiting): Int = byPrecedence.headSet(waiting, false).size

    /** Returns the waiting requests in the order of service. */
    fun inOrder(): List<Waiting> = byPrecedence.toList()

    private companion object {
        val precedence: Comparator<Waiting> =
            compareByDescending<Waiting> { it.request.confirmation }
                .thenByDescending { it.request.priority }
                .thenBy { it.sequence }
    }
}
