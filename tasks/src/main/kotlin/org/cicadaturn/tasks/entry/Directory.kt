package org.cicadaturn.tasks.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.cicadaturn.decisions.configuration.ConfigurationIndex
import org.cicadaturn.decisions.routing.AttemptOutcome
import org.cicadaturn.decisions.routing.Choice
import org.cicadaturn.decisions.routing.EndpointDirectory
import org.cicadaturn.decisions.routing.RoutingQuery
import org.cicadaturn.schema.generated.EndpointId
import org.cicadaturn.schema.generated.EndpointView
import org.cicadaturn.schema.generated.LoadReport
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.ServiceId
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Instant

/** Number of messages that may wait for the directory; a full queue suspends the sender. */
private const val DIRECTORY_QUEUE = 1024

/** Result of the choice of an endpoint, with the session to that endpoint. */
internal sealed interface Assignment {
    /** The attempt is to be sent over [session]; [Directory.finished] must be called when it ends. */
    class Assigned(
        val endpoint: EndpointId,
        val session: EndpointSession,
    ) : Assignment

    /** No endpoint can accept the attempt. */
    data class None(
        val code: RefusalCode,
        val message: String,
    ) : Assignment
}

/** Tracks the endpoints, their sessions and their load, and chooses an endpoint for each attempt. */
internal interface Directory {
    /** Sets the configuration that names the endpoints. */
    suspend fun configured(index: ConfigurationIndex)

    /** Records [session] as the session to [endpoint]. */
    suspend fun connected(
        endpoint: EndpointId,
        session: EndpointSession,
    )

    /** Records the end of [session]; without effect if a newer session to [endpoint] exists. */
    suspend fun disconnected(
        endpoint: EndpointId,
        session: EndpointSession,
    )

    /** Records the load that [endpoint] reported. */
    suspend fun reported(
        endpoint: EndpointId,
        report: LoadReport,
    )

    /** Records that [endpoint] has announced its stop. */
    suspend fun leaving(endpoint: EndpointId)

    /** Returns an endpoint for [query]; waits up to [wait] while every endpoint is full. */
    suspend fun choose(
        query: RoutingQuery,
        wait: Duration,
    ): Assignment

    /** Records the end, with [outcome], of an attempt at [endpoint], which was chosen for [tokens] tokens. */
    suspend fun finished(
        endpoint: EndpointId,
        tokens: Long,
        outcome: AttemptOutcome,
    )

    /** Returns the state of each endpoint for the state dump. */
    suspend fun views(): List<EndpointView>
}

private sealed interface DirectoryMessage {
    class Configured(
        val index: ConfigurationIndex,
    ) : DirectoryMessage

    class ConnectionChanged(
        val endpoint: EndpointId,
        val session: EndpointSession,
        val isConnected: Boolean,
    ) : DirectoryMessage

    class Reported(
        val endpoint: EndpointId,
        val report: LoadReport,
    ) : DirectoryMessage

    class Leaving(
        val endpoint: EndpointId,
    ) : DirectoryMessage

    class Choose(
        val query: RoutingQuery,
        val until: Instant,
        val reply: CompletableDeferred<Assignment>,
    ) : DirectoryMessage

    class Finished(
        val endpoint: EndpointId,
        val tokens: Long,
        val outcome: AttemptOutcome,
    ) : DirectoryMessage

    class Views(
        val reply: CompletableDeferred<List<EndpointView>>,
    ) : DirectoryMessage
}

/** Owns [directory] and the sessions; only the coroutine that runs [run] accesses them. */
internal class DirectoryTask(
    private val directory: EndpointDirectory,
    private val clock: Clock,
) : Directory {
    private val messages = Channel<DirectoryMessage>(DIRECTORY_QUEUE)
    private val sessions = HashMap<EndpointId, EndpointSession>()

    // Bounded by the limit of the request registry on requests in flight.
    private val waiting = ArrayDeque<DirectoryMessage.Choose>()

    override suspend fun configured(index: ConfigurationIndex) {
        messages.send(DirectoryMessage.Configured(index))
    }

    override suspend fun connected(
        endpoint: EndpointId,
        session: EndpointSession,
    ) {
        messages.send(DirectoryMessage.ConnectionChanged(endpoint, session, isConnected = true))
    }

    override suspend fun disconnected(
        endpoint: EndpointId,
        session: EndpointSession,
    ) {
        messages.send(DirectoryMessage.ConnectionChanged(endpoint, session, isConnected = false))
    }

    override suspend fun reported(
        endpoint: EndpointId,
        report: LoadReport,
    ) {
        messages.send(DirectoryMessage.Reported(endpoint, report))
    }

    override suspend fun leaving(endpoint: EndpointId) {
        messages.send(DirectoryMessage.Leaving(endpoint))
    }

    override suspend fun choose(
        query: RoutingQuery,
        wait: Duration,
    ): Assignment {
        val reply = CompletableDeferred<Assignment>()
        try {
            messages.send(DirectoryMessage.Choose(query, clock.now() + wait, reply))
            return reply.await()
        } catch (e: CancellationException) {
            withContext(NonCancellable) { releaseChoice(query, reply) }
            throw e
        }
    }

    /** Releases the endpoint of a choice that was cancelled; a choice that still waits is dropped by [serveWaiting]. */
    private suspend fun releaseChoice(
        query: RoutingQuery,
        reply: CompletableDeferred<Assignment>,
    ) {
        if (reply.completeExceptionally(CancellationException("the choice was cancelled"))) return
        val assigned = reply.await() as? Assignment.Assigned ?: return
        finished(assigned.endpoint, query.tokens, AttemptOutcome.Neutral)
    }

    override suspend fun finished(
        endpoint: EndpointId,
        tokens: Long,
        outcome: AttemptOutcome,
    ) {
        messages.send(DirectoryMessage.Finished(endpoint, tokens, outcome))
    }

    override suspend fun views(): List<EndpointView> {
        val reply = CompletableDeferred<List<EndpointView>>()
        messages.send(DirectoryMessage.Views(reply))
        return reply.await()
    }

    /** Handles messages until it is cancelled. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run() {
        while (true) {
            val timeout = waiting.minOfOrNull { it.until }?.let { it - clock.now() } ?: IDLE_TIMEOUT
            select {
                messages.onReceive { handle(it) }
                onTimeout(timeout) {}
            }
            if (waiting.isNotEmpty()) serveWaiting()
        }
    }

    private fun handle(message: DirectoryMessage) {
        val now = clock.now()
        when (message) {
            is DirectoryMessage.Configured -> directory.configure(message.index, now)
            is DirectoryMessage.ConnectionChanged -> connectionChanged(message)
            is DirectoryMessage.Reported -> directory.reported(message.endpoint, message.report, now)
            is DirectoryMessage.Leaving -> directory.leaving(message.endpoint)
            is DirectoryMessage.Choose -> choose(message, now)
            is DirectoryMessage.Finished -> directory.finished(message.endpoint, message.tokens, message.outcome, now)
            is DirectoryMessage.Views -> message.reply.complete(directory.views(now))
        }
    }

    private fun connectionChanged(message: DirectoryMessage.ConnectionChanged) {
        // The late end of an earlier session must not remove a newer one.
        if (!message.isConnected && sessions[message.endpoint] !== message.session) return
        if (message.isConnected) {
            sessions[message.endpoint] = message.session
        } else {
            sessions.remove(message.endpoint)
        }
        directory.connected(message.endpoint, message.isConnected)
    }

    private fun choose(
        message: DirectoryMessage.Choose,
        now: Instant,
    ) {
        // Earlier requests for the same service are served first.
        if (waiting.none { it.query.service == message.query.service } && tryAssign(message, now)) return
        waiting.addLast(message)
    }

    /** Serves waiting requests in the order of their arrival and refuses those whose wait is over. */
    private fun serveWaiting() {
        val now = clock.now()
        val full = HashSet<ServiceId>()
        waiting.removeAll { message ->
            val service = message.query.service
            val expired = message.reply.isCompleted || now >= message.until
            val done = (expired || service !in full) && tryAssign(message, now)
            if (!done) full += service
            done
        }
    }

    /** Completes the reply to [message]; returns false if the request has to wait. */
    private fun tryAssign(
        message: DirectoryMessage.Choose,
        now: Instant,
    ): Boolean {
        if (message.reply.isCompleted) return true
        val assignment =
            when (val choice = directory.choose(message.query, now)) {
                is Choice.Chosen -> Assignment.Assigned(choice.endpoint, sessions.getValue(choice.endpoint))
                is Choice.None -> Assignment.None(choice.code, choice.message)
            }
        val mayWait = assignment is Assignment.None && assignment.code == RefusalCode.OVERLOADED
        if (mayWait && now < message.until) return false
        val accepted = message.reply.complete(assignment)
        if (!accepted && assignment is Assignment.Assigned) {
            directory.finished(assignment.endpoint, message.query.tokens, AttemptOutcome.Neutral, now)
        }
        return true
    }

    private companion object {
        /** Time to wait for a message while no request waits. */
        val IDLE_TIMEOUT = 1.hours
    }
}
