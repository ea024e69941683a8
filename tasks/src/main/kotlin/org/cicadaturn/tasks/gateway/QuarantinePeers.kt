package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.schema.generated.GatewayPeer
import org.cicadaturn.schema.generated.QuarantineNews
import org.cicadaturn.tasks.Supervisor
import org.cicadaturn.tasks.applyLatest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Longest wait for the answer of another process. */
internal val ANSWER_TIMEOUT = 500.milliseconds

/** Rounds of questions to all other processes; they may start at the same time. */
private const val QUERY_ROUNDS = 5
private val QUERY_INTERVAL = 1.seconds

/** Sends [news] to all other processes and returns the answers that arrive within [limit]. */
internal suspend fun QuarantineDependencies.broadcast(
    news: QuarantineNews,
    limit: Duration = ANSWER_TIMEOUT,
): List<QuarantineNews> =
    coroutineScope {
        peers()
            .map { async { withTimeoutOrNull(limit) { exchange(it, news) } } }
            .awaitAll()
            .filterNotNull()
    }

/** Name of the task in the log and the metrics. */
internal const val QUARANTINE_TASK = "quarantine"

/**
 * Calls [onAnswer] with what the other processes know, at the start and after each time that this process was cut off.
 */
internal suspend fun QuarantineDependencies.askPeers(
    supervisor: Supervisor,
    onAnswer: (QuarantineNews) -> Unit,
) {
    fleet.state
        .filter { it.isKnown }
        .map { it.isConfigurationCurrent }
        .distinctUntilChanged()
        .applyLatest {
            supervisor.attempt(QUARANTINE_TASK, "what the peers know") { askAny()?.let(onAnswer) ?: Unit } !=
                null
        }
}

/** Returns what another process knows about crashes, or null if none answers. */
internal suspend fun QuarantineDependencies.askAny(): QuarantineNews? {
    repeat(QUERY_ROUNDS) {
        val answer = peers().shuffled(random).firstNotNullOfOrNull { exchange(it, QuarantineNews(isQuery = true)) }
        if (answer != null) return answer
        delay(QUERY_INTERVAL)
    }
    return null
}

private fun QuarantineDependencies.peers(): List<GatewayPeer> =
    fleet.state.value.view.peers
        .filter { it.id != self }
