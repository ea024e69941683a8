package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.CompletableDeferred
import org.cicadaturn.schema.generated.StoreReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Requests of peers that wait for the next answer of the store. Has one owner and is not safe for concurrent use. */
internal interface HeldReportRequests {
    /** Holds [message] at [now], or answers it with null if enough others are held; returns true if it is held. */
    fun add(
        message: FleetMessage.GetReport,
        now: Instant,
    ): Boolean

    /** Returns when the wait of the next request ends, or null if none is held. */
    fun nextEnd(): Instant?

    /**
     * Completes the requests that have not been told of the answer number [count], and those whose wait is over, with
     * the result of [answer] for the time since their receipt; null means that there is no answer.
     */
    fun complete(
        count: Long,
        now: Instant,
        answer: (held: Duration) -> StoreReport?,
    )
}

/** Returns a holder without requests. */
internal fun heldReportRequests(): HeldReportRequests = WaitingRequests()

private class WaitingRequests : HeldReportRequests {
    private class Held(
        val seen: Long,
        val receivedAt: Instant,
        val until: Instant,
        val reply: CompletableDeferred<StoreReport?>,
    )

    private val requests = ArrayList<Held>()

    override fun add(
        message: FleetMessage.GetReport,
        now: Instant,
    ): Boolean {
        // The peer of a request that was cancelled has closed its connection.
        requests.removeIf { it.reply.isCompleted }
        if (requests.size >= MAX_HELD_REQUESTS) {
            message.reply.complete(null)
            return false
        }
        val wait = message.request.wait.coerceAtMost(MAX_REPORT_WAIT)
        return requests.add(Held(message.request.seen, message.receivedAt, now + wait, message.reply))
    }

    override fun nextEnd(): Instant? = requests.minOfOrNull { it.until }

    override fun complete(
        count: Long,
        now: Instant,
        answer: (held: Duration) -> StoreReport?,
    ) {
        val due = requests.filter { it.seen != count || now >= it.until }
        requests.removeAll(due.toSet())
        due.forEach { it.reply.complete(answer(now - it.receivedAt)) }
    }

    private companion object {
        /** Bounds the work of a process that reports to others, which is a call of each of them about every second. */
        const val MAX_HELD_REQUESTS = 40

        /** Longest time for which the request of a peer is held, whatever it says. */
        val MAX_REPORT_WAIT = 10.seconds
    }
}
