package org.cicadaturn.standins.engine

import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import org.cicadaturn.schema.generated.EngineCounters
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.standins.portOf
import org.cicadaturn.standins.startEngine
import org.cicadaturn.tasks.listen.listenOrThrow
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a stand-in model engine.
 *
 * @property listen address to listen on; with port 0 the operating system chooses a free port
 * @property batch parameters of the batching model, in model time
 * @property models names of the models that are loaded at the start
 * @property run initial run number in load reports; a restart by a control call adds 1
 * @property defaultAnswerTokens number of tokens in an answer if the request has no max_tokens
 * @property maxAnswerTokens maximum number of tokens in an answer
 * @property loadLag age of the load reports, in model time
 * @property timeScale real time per unit of model time; above zero
 * @property checkFencing true to refuse orders with an old fencing token, false to ignore the token
 */
public data class EngineSettings(
    val listen: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    val batch: BatchSettings = BatchSettings(),
    val models: List<String> = listOf("draft"),
    val run: Long = 1,
    val defaultAnswerTokens: Int = 32,
    val maxAnswerTokens: Int = 4096,
    val loadLag: Duration = 100.milliseconds,
    val timeScale: Double = 1.0,
    val checkFencing: Boolean = true,
) {
    init {
        require(timeScale > 0) { "timeScale is $timeScale; it must be above zero" }
        require(maxAnswerTokens > 0) { "maxAnswerTokens is $maxAnswerTokens; it must be at least 1" }
        require(defaultAnswerTokens in 1..maxAnswerTokens) {
            "defaultAnswerTokens is $defaultAnswerTokens; it must be from 1 to maxAnswerTokens, $maxAnswerTokens"
        }
    }
}

/** Running stand-in for a model engine. */
public interface ModelEngine {
    /** Address on which the engine listens, with the bound port. */
    public val address: NetworkAddress

    /** Returns the same counters as `GET /counters`. */
    public suspend fun counters(): EngineCounters

    /** Closes all connections and the listener, and ends the engine's coroutines. */
    public suspend fun close()
}

/**
 * Starts a stand-in for a model engine as a child of the job of [scope].
 *
 * [clock] provides the real time, and [pause] suspends for a duration of real time.
 */
public suspend fun startModelEngine(
    scope: CoroutineScope,
    settings: EngineSettings = EngineSettings(),
    clock: Clock = Clock.System,
    pause: suspend (Duration) -> Unit = ::delay,
): ModelEngine {
    val job = SupervisorJob(scope.coroutineContext.job)
    val inbox = Channel<EngineMessage>(ENGINE_INBOX_CAPACITY)
    val task = EngineTask(settings, ModelTime(clock, settings.timeScale, pause), inbox)
    val engineScope = scope + job + Dispatchers.Default
    engineScope.launch { task.run(this) }
    val taskHandle = EngineTaskHandle(inbox, job)
    val server =
        listenOrThrow(settings.listen) {
            startEngine(settings.listen) { onFailure ->
                engineScope.embeddedServer(
                    CIO,
                    port = settings.listen.port,
                    host = settings.listen.ip,
                    parentCoroutineContext = job + onFailure,
                ) { engineModule(settings, taskHandle, clock) }
            }
        }
    val port = portOf(server)
    return object : ModelEngine {
        override val address = NetworkAddress(settings.listen.ip, port)

        override suspend fun counters(): EngineCounters = taskHandle.ask { EngineMessage.ReadCounters(it) }

        override suspend fun close() {
            server.stopSuspend(0, 0)
            job.cancelAndJoin()
        }
    }
}
