package org.cicadaturn.daemons

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.future.asDeferred
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.daemons.command.EngineOptions
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.OrdersOptions
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.daemons.command.StandinListener
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.standins.engine.BatchSettings
import org.cicadaturn.standins.engine.EngineSettings
import org.cicadaturn.standins.engine.startModelEngine
import org.cicadaturn.standins.orders.OrderServiceSettings
import org.cicadaturn.standins.orders.startOrderService
import org.cicadaturn.standins.startPlatformStandin
import java.io.IOException

/** Runs the stand-in of the platform's object API until SIGTERM or SIGINT; returns the exit code. */
internal fun runPlatformStandin(
    listener: StandinListener,
    signals: ProcessSignals,
): Int =
    runStandin(listener, signals) {
        val platform = startPlatformStandin(this, listener.listen)
        mapOf("listen" to platform.address, "control" to platform.controlAddress)
    }

/** Runs the stand-in of a model engine until SIGTERM or SIGINT; returns the exit code. */
internal fun runEngineStandin(
    options: EngineOptions,
    signals: ProcessSignals,
): Int =
    runStandin(options.listener, signals) {
        val batch =
            BatchSettings(
                maxBatch = options.batch,
                baseStep = options.stepTime,
                coldBound = options.coldBound,
                coldStep = options.coldStep,
                warmAfter = (options.batch - options.coldBound) * options.coldStep,
            )
        val engine = startModelEngine(this, EngineSettings(listen = options.listener.listen, batch = batch))
        mapOf("listen" to engine.address)
    }

/** Runs the stand-in of an order service until SIGTERM or SIGINT; returns the exit code. */
internal fun runOrdersStandin(
    options: OrdersOptions,
    signals: ProcessSignals,
): Int =
    runStandin(options.listener, signals) {
        val orders = startOrderService(this, OrderServiceSettings(listen = options.listener.listen))
        mapOf("listen" to orders.address)
    }

private fun runStandin(
    listener: StandinListener,
    signals: ProcessSignals,
    start: suspend CoroutineScope.() -> Map<String, NetworkAddress>,
): Int =
    runBlocking(Dispatchers.Default) {
        val stop = signals.takeOver().asDeferred()
        val standin = CoroutineScope(coroutineContext + SupervisorJob())
        val failure = CompletableDeferred<Unit>()
        standin.launch {
            try {
                val ports = standin.start()
                listener.portFile?.let { keepWritingPorts(it, ports) }
            } catch (e: IOException) {
                logger.error("standin: {}", e.message)
                failure.complete(Unit)
            }
        }
        select {
            stop.onAwait {}
            failure.onAwait {}
        }
        standin.coroutineContext.job.cancelAndJoin()
        if (failure.isCompleted) FAILED_RUN else SUCCESS
    }

private val logger = LogManager.getLogger("org.cicadaturn.daemons.Standins")
