package org.cicadaturn.daemons

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.asDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.selects.select
import org.apache.logging.log4j.LogManager
import org.cicadaturn.daemons.command.FAILED_RUN
import org.cicadaturn.daemons.command.FATAL_ERROR
import org.cicadaturn.daemons.command.SUCCESS
import org.cicadaturn.decisions.routing.sampledChooser
import org.cicadaturn.schema.generated.EndpointFile
import org.cicadaturn.schema.generated.EntryFile
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.Incarnation
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.ProcessSettings
import org.cicadaturn.schema.generated.StoreSettings
import org.cicadaturn.tasks.FatalErrorHandler
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.endpoint.EndpointDependencies
import org.cicadaturn.tasks.endpoint.endpointNode
import org.cicadaturn.tasks.entry.EntryDependencies
import org.cicadaturn.tasks.entry.entryNode
import org.cicadaturn.tasks.fatalErrorIn
import org.cicadaturn.tasks.processEnd
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.httpObjectStore
import org.cicadaturn.tasks.store.measuredObjectStore
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.nio.file.Path
import java.security.SecureRandom
import kotlin.random.Random
import kotlin.time.Clock

/** Runs an entry process until [signals] ask it to stop; returns the exit code. */
internal fun runEntry(
    file: EntryFile,
    signals: ProcessSignals,
): Int =
    runNode(file.process, signals) {
        val registry = PrometheusRegistry()
        val random = Random(SecureRandom().nextLong())
        val dependencies =
            EntryDependencies(
                store = openStore(file.store, file.process, registry),
                clock = Clock.System,
                incarnation = newIncarnation(),
                registry = registry,
                chooser = sampledChooser(Random(random.nextLong())),
                random = random,
            )
        entryNode(file, dependencies)
    }

/** Runs an endpoint process until [signals] ask it to stop; returns the exit code. */
internal fun runEndpoint(
    file: EndpointFile,
    signals: ProcessSignals,
): Int =
    runNode(file.process, signals) {
        val registry = PrometheusRegistry()
        val store = openStore(file.store, file.process, registry)
        endpointNode(file, EndpointDependencies(store, Clock.System, newIncarnation(), registry))
    }

private fun runNode(
    process: ProcessSettings,
    signals: ProcessSignals,
    start: () -> Node,
): Int =
    runBlocking {
        endOnFatalErrors()
        val stop = signals.takeOver().asDeferred()
        val node = start()
        val failure = CompletableDeferred<Unit>()
        val cut = runUntilStopped(node, process, stop, failure)
        if (cut == 0 && !failure.isCompleted) SUCCESS else FAILED_RUN
    }

/**
 * Runs [node] until [stop] completes, or [failure] because the process cannot serve; writes its port file once it listens on
 * all its addresses. Returns the number of requests that were cut.
 */
internal suspend fun runUntilStopped(
    node: Node,
    process: ProcessSettings,
    stop: Deferred<*>,
    failure: CompletableDeferred<Unit>,
): Int =
    coroutineScope {
        val start =
            launch {
                node.awaitListeners().onLeft {
                    logger.error("process: {}", it.message)
                    failure.complete(Unit)
                    return@launch
                }
                process.portFile?.let { keepWritingPorts(Path.of(it), node.listeners) }
            }
        select {
            stop.onAwait {}
            failure.onAwait {}
        }
        start.cancelAndJoin()
        node.stop()
    }

/**
 * Ends the process with [FATAL_ERROR] after an error that ends a thread or coroutine and after which the process cannot
 * serve any more; returns the handler that does so.
 */
internal fun endOnFatalErrors(): FatalErrorHandler {
    val end = processEnd(FATAL_ERROR, FileOutputStream(FileDescriptor.err))
    Thread.setDefaultUncaughtExceptionHandler { thread, cause ->
        val fatal = fatalErrorIn(cause)
        if (fatal == null) logger.error("process: thread {} failed", thread.name, cause) else end(fatal)
    }
    return end
}

private val logger = LogManager.getLogger("org.cicadaturn.daemons.Nodes")

private fun openStore(
    settings: StoreSettings,
    process: ProcessSettings,
    registry: PrometheusRegistry,
): ObjectStore {
    val client = httpObjectStore(settings.address, settings.timeout, FailureDomainId(process.failureDomain))
    return measuredObjectStore(client, registry)
}

private fun newIncarnation(): Incarnation = Incarnation(SecureRandom().nextLong(Long.MAX_VALUE))
