package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.RouteKind
import org.cicadaturn.tasks.http.HttpPart
import org.cicadaturn.tasks.http.valueOf
import java.io.ByteArrayOutputStream
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of waiting for the next part of an answer. */
internal sealed interface WaitResult {
    class Part(
        val part: HttpPart,
    ) : WaitResult

    data object Ended : WaitResult

    /** A surplus answer was cut, so the answer behind it cannot be told from the rest of the surplus one. */
    data object Joined : WaitResult

    data object Stalled : WaitResult
}

/** Parts of the answer to [attempt], as they arrive on [connection], without surplus answers. */
internal class AnswerParts(
    private val attempt: AttemptRequest,
    private val connection: EndpointConnection,
    private val balancer: Balancer,
    private val dialect: GatewayDialect,
    private val clock: Clock,
    private val memory: BodyMemory.Reservation,
) {
    private val link = connection.link
    private val start = clock.now()

    /** Time before which the end of the answer has not arrived: start of the attempt, or of a wait for a part. */
    var awaitedSince = start
        private set

    /** True if the body that was read was ended by its connection alone. */
    var isEndedByClose = false
        private set

    /** Number of surplus answers that were skipped. */
    var surplusAnswers = 0
        private set

    /**
     * Returns the head of the answer, skipping surplus answers to earlier requests.
     *
     * The time limit and the number of surplus answers are bounded, as an endpoint may send them without end.
     */
    suspend fun awaitHead(): WaitResult {
        while (true) {
            val received = awaitHeadPart()
            val part = (received as? WaitResult.Part)?.part
            when {
                part == null -> return received
                !isSurplus(part) || surplusAnswers == MAX_SURPLUS_ANSWERS -> return received
            }
            surplusAnswers += 1
            // A copy that was cut takes up the answer behind it, so there is nothing left to wait for.
            if (withTimeoutOrNull(SURPLUS_TIMEOUT) { readBody() } == null) return WaitResult.Joined
        }
    }

    /** Waits for a head, but not for the end of one of which a cut surplus answer has taken up the beginning. */
    private suspend fun awaitHeadPart(): WaitResult {
        if (surplusAnswers > 0) {
            val received = awaitPart(minOf(SURPLUS_TIMEOUT, attempt.remaining))
            if (received != WaitResult.Stalled) return received
            if (link.isWithinHead) return WaitResult.Joined
        }
        return awaitPartOrStall(attempt.silenceLimit - (clock.now() - start), hasBegun = false)
    }

    private fun isSurplus(part: HttpPart): Boolean =
        part is HttpPart.Response && part.head.headers.valueOf(dialect.requestId) in connection.requestIds

    /**
     * Waits for the next part for [limit], and longer while another endpoint stands by. Ends as stalled only at the time
     * limit of the attempt, as the silence of an endpoint is no proof that it has given the request up.
     */
    suspend fun awaitPartOrStall(
        limit: Duration,
        hasBegun: Boolean,
    ): WaitResult {
        // Parts that are neither a head nor an event may arrive without end.
        val isOver = limit < -STALL_CHECK_INTERVAL
        var received = if (isOver) WaitResult.Stalled else awaitPart(limit.coerceAtLeast(MIN_WAIT))
        while (received == WaitResult.Stalled) {
            val standby = attempt.standby ?: break
            val remaining = start + attempt.timeLimit - clock.now()
            if (!remaining.isPositive()) break
            if (canOthersHelp(hasBegun)) standby.start(link::close)
            received = awaitPart(minOf(STALL_CHECK_INTERVAL, remaining))
        }
        return received
    }

    /** The state of its group decides whether another endpoint can help a stream. */
    private suspend fun canOthersHelp(hasBegun: Boolean): Boolean =
        attempt.kind != RouteKind.STREAM || balancer.shouldAbandon(attempt.endpoint.id, hasBegun)

    /** Waits for the next part for [limit]. */
    suspend fun awaitPart(limit: Duration): WaitResult {
        val since = clock.now()
        val received =
            withTimeoutOrNull(limit) { link.receive()?.let { WaitResult.Part(it) } ?: WaitResult.Ended }
                ?: WaitResult.Stalled
        if (clock.now() - since >= MIN_READ_TIME) awaitedSince = since
        if ((received as? WaitResult.Part)?.part == HttpPart.EndByClose) isEndedByClose = true
        return received
    }

    /** Returns true if [bytes] of the answer may be kept until it is complete. */
    fun canBuffer(bytes: Int): Boolean = bytes <= BUFFER_LIMIT && memory.tryGrowTo(bytes)

    /** Returns the rest of the body, or null if it is cut, pauses or is too long to be kept. */
    suspend fun readBody(): ByteArray? {
        val body = ByteArrayOutputStream()
        while (canBuffer(body.size())) {
            when (val part = (awaitPart(attempt.silenceLimit) as? WaitResult.Part)?.part) {
                is HttpPart.Data -> body.write(part.bytes)
                HttpPart.End, HttpPart.EndByClose -> return body.toByteArray()
                else -> return null
            }
        }
        return null
    }

    private companion object {
        /** Longest answer in bytes that is buffered until complete, so that a failed attempt can be repeated. */
        const val BUFFER_LIMIT = 262_144

        /** Surplus answers that are skipped before the connection counts as broken. */
        const val MAX_SURPLUS_ANSWERS = 2

        /** Longest wait for the end of a surplus answer, which an endpoint sends at once. */
        val SURPLUS_TIMEOUT = 400.milliseconds

        val MIN_WAIT = 1.milliseconds

        /**
         * A wait that lasts longer shows that nothing had arrived when it began, as what has is read in the next turn of the
         * event loop. Behind a pause, a turn reads hundreds of connections.
         */
        val MIN_READ_TIME = 100.milliseconds

        /** Time between two checks whether a request without data should be sent to another endpoint as well. */
        val STALL_CHECK_INTERVAL = 200.milliseconds
    }
}
