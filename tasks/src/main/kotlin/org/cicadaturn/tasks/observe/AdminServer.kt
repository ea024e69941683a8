package org.cicadaturn.tasks.observe

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.listen.Listener
import java.io.ByteArrayOutputStream

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1000L

/**
 * Content that an admin server provides.
 *
 * @property isReady returns false while the process should get no new callers
 * @property dump returns the state dump as JSON
 * @property registry registry of the metrics to export
 */
public class AdminContent(
    public val isReady: () -> Boolean,
    public val dump: suspend () -> String,
    public val registry: PrometheusRegistry,
)

/** Starts a server on [address] for health, readiness, metrics and the state dump, with additional [routes]. */
public suspend fun adminServer(
    address: NetworkAddress,
    content: AdminContent,
    routes: Routing.() -> Unit = {},
): Listener =
    startServer(address) {
        routing {
            get("/healthz") { call.respondText("ok\n") }
            get("/readyz") {
                if (content.isReady()) {
                    call.respondText("ready\n")
                } else {
                    call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
                }
            }
            get("/metrics") {
                call.respondBytes(scrape(content.registry), ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE))
            }
            get("/dump") { call.respondText(content.dump(), ContentType.Application.Json) }
            routes()
        }
    }

/**
 * Starts an HTTP server on [address] with the application that [module] configures.
 *
 * Closing it cuts calls that are in progress after a short grace period.
 */
public suspend fun startServer(
    address: NetworkAddress,
    module: Application.() -> Unit,
): Listener {
    val server =
        startEngine(address) { onFailure ->
            CoroutineScope(onFailure)
                .embeddedServer(CIO, address.port, address.ip, parentCoroutineContext = onFailure, module = module)
        }
    return EngineServer(server, NetworkAddress(address.ip, portOf(server)))
}

private class EngineServer(
    private val server: EmbeddedServer<*, *>,
    override val address: NetworkAddress,
) : Listener {
    override suspend fun close() {
        server.stopSuspend(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
    }
}

private fun scrape(registry: PrometheusRegistry): ByteArray {
    val out = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(out, registry.scrape())
    return out.toByteArray()
}
