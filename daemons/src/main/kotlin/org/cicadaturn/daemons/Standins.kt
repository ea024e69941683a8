package org.cicadaturn.daemons

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.cicadaturn.daemons.command.EngineOptions
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

/** Runs the stand-in of the platform's object API until SIGTERM or SIGINT; returns the exit code. */
internal fun runPlatformStandin(listener: StandinListener): Int =
    runStandin(listener) {
        val platform = startPlatformStandin(this, listener.listen)
        mapOf("listen" to platform.address, "control" to platform.controlAddress)
    }

/** Runs the stand-in of a model engine until SIGTERM or SIGINT; returns the exit code. */
internal fun runEngineStandin(options: EngineOptions): Int =
    runStandin(options.listener) {
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
internal fun runOrdersStandin(options: OrdersOptions): Int =
    runStandin(options.listener) {
        val orders = startOrderService(this, OrderServiceSettings(listen = options.listener.listen))
        mapOf("listen" to orders.address)
    }

private fun runStandin(
    listener: StandinListener,
    start: suspend CoroutineScope.() -> Map<String, NetworkAddress>,
): Int =
    runBlocking(Dispatchers.Default) {
        val stop = stopSignal()
        coroutineScope {
            val ports = start()
            listener.portFile?.let { writePorts(it, ports) }
            stop.await()
            coroutineContext.cancel()
        }
        SUCCESS
    }
