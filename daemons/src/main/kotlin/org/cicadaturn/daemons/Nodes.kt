package org.cicadaturn.daemons

import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
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
import sun.misc.Signal
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.io.path.moveTo
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.time.Clock

/** Runs an entry process until SIGTERM or SIGINT; returns the exit code. */
internal fun runEntry(file: EntryFile): Int =
    runNode(file.process) {
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

/** Runs an endpoint process until SIGTERM or SIGINT; returns the exit code. */
internal fun runEndpoint(file: EndpointFile): Int =
    runNode(file.process) {
        val registry = PrometheusRegistry()
        val store = openStore(file.store, file.process, registry)
        endpointNode(file, EndpointDependencies(store, Clock.System, newIncarnation(), registry))
    }

private fun runNode(
    process: ProcessSettings,
    start: suspend () -> Node,
): Int =
    runBlocking {
        endOnFatalErrors()
        val stop = stopSignal()
        val node = start()
        process.portFile?.let { writePorts(Path.of(it), node.listeners) }
        stop.await()
        if (node.stop() == 0) SUCCESS else FAILED_RUN
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

/**
 * Returns a deferred that completes on the first SIGTERM or SIGINT, after a call of [onSignal] in the thread of the
 * signal; a SIGINT after it ends the process immediately.
 *
 * A further SIGTERM is ignored, as platforms and scripts send it more than once and end a process that takes too long
 * with SIGKILL.
 */
internal fun stopSignal(onSignal: () -> Unit = {}): CompletableDeferred<Unit> {
    val stop = CompletableDeferred<Unit>()
    val signalled = AtomicBoolean()
    val request = {
        val isFirst = signalled.compareAndSet(false, true)
        if (isFirst) {
            onSignal()
            stop.complete(Unit)
        }
        isFirst
    }
    Signal.handle(Signal("TERM")) { request() }
    Signal.handle(Signal("INT")) { if (!request()) Runtime.getRuntime().halt(FAILED_RUN) }
    return stop
}

/** Writes one `name=port` line for each of [ports]; the file is moved into place only when it is complete. */
internal fun writePorts(
    path: Path,
    ports: Map<String, NetworkAddress>,
) {
    val partial = path.resolveSibling("${path.fileName}.partial")
    partial.writeText(ports.entries.joinToString("") { (name, address) -> "$name=${address.port}\n" })
    partial.moveTo(path, overwrite = true)
}

private fun openStore(
    settings: StoreSettings,
    process: ProcessSettings,
    registry: PrometheusRegistry,
): ObjectStore {
    val client = httpObjectStore(settings.address, settings.timeout, FailureDomainId(process.failureDomain))
    return measuredObjectStore(client, registry)
}

private fun newIncarnation(): Incarnation = Incarnation(SecureRandom().nextLong(Long.MAX_VALUE))
