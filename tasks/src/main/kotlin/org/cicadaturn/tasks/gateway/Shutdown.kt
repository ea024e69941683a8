package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.gateway.StopTimes
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Planned end of the process, as far as requests must know it. */
internal interface Shutdown {
    /** Times of the stop, or null if the process is not stopping. */
    val times: StopTimes?

    /** Completes when the requests that are still in progress must be answered, as the process ends. */
    val lastCall: Job
}

/** Counts the requests in progress of a process and states whether callers should use another process. */
internal interface RequestTracker {
    /** Returns true while answers ask the caller for a new connection, which leads to another process. */
    fun asksToReconnect(): Boolean

    /** Completes when the process begins to stop. */
    val stopStarted: Job

    /** Completes when idle connections have to be closed. */
    val drainStarted: Job

    /** Adds [change] to the number of requests in progress. */
    fun changeInProgress(change: Int)

    /** Adds [change] to the number of open connections of callers. */
    fun changeConnections(change: Int)
}

/**
 * Sequence of a planned stop of a gateway, which the platform kills [stopTimeout] after its start. Used by the event
 * loop of the process only.
 *
 * @param isIsolated returns true if callers are better served by other processes although this one is not stopping
 */
internal class StopSequence(
    private val stopTimeout: Duration,
    private val clock: Clock,
    private val isIsolated: () -> Boolean,
) : Shutdown,
    RequestTracker {
    override var times: StopTimes? = null
        private set
    override val stopStarted = Job()
    override val drainStarted = Job()
    override val lastCall = Job()
    private var inProgress = 0
    private var connections = 0

    override fun asksToReconnect(): Boolean = times != null || isIsolated()

    override fun changeInProgress(change: Int) {
        inProgress += change
    }

    override fun changeConnections(change: Int) {
        connections += change
    }

    /**
     * Accepts connections until readiness checks have failed, or only until now if the process was never ready, then calls
     * [closeListener] and waits for the connections that are not idle. Returns the number of requests that are still in
     * progress at the end.
     *
     * The platform counts the stop timeout from its signal, so the stop ends by [requestedAt], or by the present if that
     * is null. Readiness is withdrawn only now: on a busy machine the event loop may begin the stop seconds later.
     */
    suspend fun run(
        requestedAt: Instant? = null,
        wasReady: Boolean = true,
        closeListener: suspend () -> Unit,
    ): Int {
        logger.info("gateway: stopping with {} requests in progress", inProgress)
        val start = clock.now()
        val signalledAt = requestedAt ?: start
        if (start - signalledAt > SIGNAL_DELAY) {
            logger.warn("gateway: the stop begins {} ms after its signal", (start - signalledAt).inWholeMilliseconds)
        }
        val end = signalledAt + stopTimeout - STOP_RESERVE
        val unreadyTime = if (wasReady) UNREADY_TIME else Duration.ZERO
        val readinessDelay = if (wasReady) READINESS_DELAY else Duration.ZERO
        val closedAt = signalledAt + unreadyTime - SIGNAL_DELAY
        times = StopTimes(start, unreadyAt = start + readinessDelay, closedAt, endsAt = end)
        stopStarted.complete()
        delay(minOf(unreadyTime, end - start))
        closeListener()
        // The requests that have reached the sockets before are read meanwhile.
        delay(STOP_POLL)
        drainStarted.complete()
        awaitConnections(until = end)
        val unfinished = inProgress
        lastCall.complete()
        awaitConnections(until = end + LAST_CALL_TIME)
        val cut = inProgress
        logger.info("gateway: ends with {} requests unfinished and {} cut", unfinished, cut)
        return cut
    }

    private suspend fun awaitConnections(until: Instant) {
        while (connections > 0 && clock.now() < until) delay(STOP_POLL)
    }

    private companion object {
        val logger = LogManager.getLogger(StopSequence::class.java)

        /** Time until readiness checks have failed: two of them, a second apart. */
        val READINESS_DELAY = 2.seconds

        /**
         * Time for which connections are accepted after readiness is withdrawn; one second is left for connections that
         * were opened just before the checks failed.
         */
        val UNREADY_TIME = READINESS_DELAY + 1.seconds

        /** Usual longest time from the sending of the signal to the start of the stop. */
        val SIGNAL_DELAY = 100.milliseconds
        val STOP_POLL = 20.milliseconds

        /** Time before the stop timeout at which requests are ended, as the platform kills the process at the timeout. */
        val STOP_RESERVE = 700.milliseconds

        /** Time to answer the requests that are in progress when the process ends. */
        val LAST_CALL_TIME = 200.milliseconds
    }
}
