package org.cicadaturn.bench.path

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CancellationException
import org.cicadaturn.schema.generated.NetworkAddress

private const val MAX_CONNECTIONS = 4096
private const val STATUS_PATH = "/orders"

/** Client that reads the status of the order service, directly or through the entry process. */
internal class PathCaller(
    private val key: String,
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
            }
        }

    /** Sends one call to [address]; returns true if the answer is complete. */
    suspend fun call(address: NetworkAddress): Boolean =
        try {
            val url = "http://${address.ip}:${address.port}$STATUS_PATH"
            val response = client.get(url) { header("Authorization", "Bearer $key") }
            response.bodyAsText().startsWith("{\"total\"")
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            false
        }

    override fun close() {
        client.close()
    }
}
