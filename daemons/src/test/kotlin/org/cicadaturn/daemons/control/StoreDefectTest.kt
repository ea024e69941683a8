package org.cicadaturn.daemons.control

import arrow.core.Either
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.cicadaturn.schema.generated.StoreList
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.tasks.Node
import org.cicadaturn.tasks.store.ObjectStore
import org.cicadaturn.tasks.store.StoreError
import org.junit.jupiter.api.Test
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger

class StoreDefectTest {
    /** Store whose first calls of each kind fail with an exception. */
    private class FailingStore(
        private val store: ObjectStore,
    ) : ObjectStore by store {
        private val lists = AtomicInteger()
        private val reads = AtomicInteger()

        override suspend fun list(prefix: String): Either<StoreError, StoreList> {
            check(lists.incrementAndGet() > FAILURES) { "planted failure" }
            return store.list(prefix)
        }

        override suspend fun get(key: String): Either<StoreError, StoredObject> {
            check(reads.incrementAndGet() > FAILURES) { "planted failure" }
            return store.get(key)
        }
    }

    private suspend fun isReady(node: Node): Boolean =
        withContext(Dispatchers.IO) {
            val address = node.listeners.getValue("admin")
            val request = HttpRequest.newBuilder(URI("http://${address.ip}:${address.port}/readyz")).build()
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200
        }

    /** Guards against a process that learns of no configuration any more after a defect in one call to the store. */
    @Test
    fun `an entry process reads the configuration after calls to the store failed`() =
        runBlocking(Dispatchers.Default) {
            val scope = CoroutineScope(SupervisorJob())
            val system = startSystem(scope, ::FailingStore)
            try {
                eventually { isReady(system.entry) }
            } finally {
                system.stop()
                scope.cancel()
            }
        }

    private companion object {
        const val FAILURES = 2
    }
}
