package org.cicadaturn.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.StoreFailure
import org.cicadaturn.schema.generated.StoreFailureCode
import org.cicadaturn.schema.generated.StoreFaults
import org.cicadaturn.schema.generated.StoreMode
import org.cicadaturn.schema.generated.StorePut
import org.cicadaturn.schema.generated.StoreWritten
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.listen.Listener
import org.cicadaturn.tasks.listen.listenOrThrow
import org.cicadaturn.tasks.store.STORE_DOMAIN_HEADER
import org.cicadaturn.tasks.store.STORE_EXPECTED
import org.cicadaturn.tasks.store.STORE_FROM
import org.cicadaturn.tasks.store.STORE_KEY
import org.cicadaturn.tasks.store.STORE_LIST_PATH
import org.cicadaturn.tasks.store.STORE_OBJECT_PATH
import org.cicadaturn.tasks.store.STORE_PREFIX
import org.cicadaturn.tasks.store.STORE_WAIT
import org.cicadaturn.tasks.store.STORE_WATCH_PATH
import org.cicadaturn.tasks.store.StoreError
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val BAD_GATEWAY = 502
private const val DEFAULT_WATCH_WAIT_MILLIS = 30_000L

/** Running stand-in for the platform's object API. */
public interface PlatformStandin : StoreControl {
    /** Address of the object API. */
    public val address: NetworkAddress

    /** Address of the control API, which stays reachable while the object API refuses connections. */
    public val controlAddress: NetworkAddress

    /** Closes both listeners. */
    public suspend fun close()
}

/**
 * Starts a stand-in for the platform's object API on [listen], with its control API on [control].
 *
 * On [control], `GET /faults` returns the faults, `PUT /faults` replaces them, and `GET /counts` returns the counters.
 * [seed] determines which answers are lost because of `losePercent`.
 */
public suspend fun startPlatformStandin(
    scope: CoroutineScope,
    listen: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    control: NetworkAddress = NetworkAddress("127.0.0.1", 0),
    limits: StoreLimits = StoreLimits(),
    seed: Long = 0,
): PlatformStandin {
    val inbox = startStoreOwner(scope, limits, Random(seed))
    val api = ApiListener(inbox, startObjectApi(listen, inbox))
    scope.launch { api.run() }
    return RunningPlatform(OwnerControl(inbox), api).also { it.start(control) }
}

private class RunningPlatform(
    private val owner: StoreControl,
    private val api: ApiListener,
) : PlatformStandin,
    StoreControl by owner {
    private lateinit var controlServer: Listener

    override val address: NetworkAddress get() = api.address
    override val controlAddress: NetworkAddress get() = controlServer.address

    suspend fun start(control: NetworkAddress) {
        controlServer =
            listenOrThrow(control) {
                startServer(control) {
                    routing {
                        get("/faults") { call.respondText(Json.encodeToString(faults()), ContentType.Application.Json) }
                        get("/counts") { call.respondText(Json.encodeToString(counts()), ContentType.Application.Json) }
                        put("/faults") { handlePutFaults(call) }
                    }
                }
            }
    }

    private suspend fun handlePutFaults(call: ApplicationCall) {
        try {
            setFaults(Json.decodeFromString(StoreFaults.serializer(), call.receiveText()))
            call.respondText("{}", ContentType.Application.Json)
        } catch (e: IllegalArgumentException) {
            call.respondText("${e.message}\n", status = HttpStatusCode.BadRequest)
        }
    }

    override suspend fun setFaults(faults: StoreFaults) {
        owner.setFaults(faults)
        api.setListening(faults.mode != StoreMode.REFUSING)
    }

    override suspend fun close() {
        controlServer.close()
        api.setListening(false)
    }
}

/** Asks the owner of the listener to open or close it; [done] completes afterwards. */
private class ListenRequest(
    val open: Boolean,
    val done: CompletableDeferred<Unit>,
)

/** Owns the listener of the object API, which is closed while connections are refused. */
private class ApiListener(
    private val inbox: SendChannel<StoreMessage>,
    private var server: Listener?,
) {
    private val requests = Channel<ListenRequest>()

    val address: NetworkAddress = checkNotNull(server).address

    /** Opens or closes the listener; returns when this is done. */
    suspend fun setListening(open: Boolean) {
        val done = CompletableDeferred<Unit>()
        requests.send(ListenRequest(open, done))
        done.await()
    }

    suspend fun run() {
        for (request in requests) {
            val running = server
            if (!request.open && running != null) {
                running.close()
                server = null
            }
            if (request.open && running == null) server = startObjectApi(address, inbox)
            request.done.complete(Unit)
        }
    }
}

private suspend fun startObjectApi(
    listen: NetworkAddress,
    inbox: SendChannel<StoreMessage>,
): Listener =
    listenOrThrow(listen) {
        startServer(listen) {
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            routing { objectApiRoutes(inbox) }
        }
    }

private fun Routing.objectApiRoutes(inbox: SendChannel<StoreMessage>) {
    get(STORE_OBJECT_PATH) { answer(call, inbox) { StoreCall.Get(requiredParameter(it, STORE_KEY)) } }
    get(STORE_LIST_PATH) { answer(call, inbox) { StoreCall.ListObjects(requiredParameter(it, STORE_PREFIX)) } }
    put(STORE_OBJECT_PATH) {
        answer(call, inbox) {
            val put = Json.decodeFromString(StorePut.serializer(), it.receiveText())
            StoreCall.Put(requiredParameter(it, STORE_KEY), put.value, put.expected)
        }
    }
    delete(STORE_OBJECT_PATH) {
        answer(call, inbox) {
            StoreCall.Delete(requiredParameter(it, STORE_KEY), Version(requiredParameter(it, STORE_EXPECTED).toLong()))
        }
    }
    get(STORE_WATCH_PATH) {
        answer(call, inbox) {
            val wait = it.request.queryParameters[STORE_WAIT]?.toLong() ?: DEFAULT_WATCH_WAIT_MILLIS
            StoreCall.Watch(
                requiredParameter(it, STORE_PREFIX),
                Version(requiredParameter(it, STORE_FROM).toLong()),
                wait.milliseconds,
            )
        }
    }
}

private fun requiredParameter(
    call: ApplicationCall,
    name: String,
): String = requireNotNull(call.request.queryParameters[name]) { "query parameter $name is missing; add it" }

/** Submits the call that [read] decodes to the store and sends the reply; answers 400 if the request is not valid. */
private suspend fun answer(
    call: ApplicationCall,
    inbox: SendChannel<StoreMessage>,
    read: suspend (ApplicationCall) -> StoreCall,
) {
    val storeCall =
        try {
            read(call)
        } catch (e: SerializationException) {
            respondFailure(call, StoreFailure(StoreFailureCode.INVALID, "the body is not understood: ${e.message}"))
            return
        } catch (e: IllegalArgumentException) {
            respondFailure(call, StoreFailure(StoreFailureCode.INVALID, e.message.orEmpty()))
            return
        }
    val domain = call.request.headers[STORE_DOMAIN_HEADER]?.let { FailureDomainId(it) }
    val reply = CompletableDeferred<StoreReply>()
    try {
        inbox.send(StoreMessage.Submit(Submission(storeCall, domain, reply)))
        respond(call, reply.await())
    } finally {
        // Ends the wait of a watch whose caller has closed the connection.
        reply.cancel()
    }
}

private suspend fun respond(
    call: ApplicationCall,
    reply: StoreReply,
) {
    when (reply) {
        is StoreReply.Found -> respondJson(call, Json.encodeToString(reply.stored))
        is StoreReply.Listed -> respondJson(call, Json.encodeToString(reply.list))
        is StoreReply.Written -> respondJson(call, Json.encodeToString(StoreWritten(reply.version)))
        is StoreReply.Changed -> respondJson(call, Json.encodeToString(reply.events))
        is StoreReply.Failed -> respondFailure(call, failureOf(reply.error))
        // The embedded server cannot close a connection without an answer. Like a lost connection, status 502 does
        // not say whether the call was executed.
        StoreReply.RefuseConnection, StoreReply.CloseConnection ->
            call.respondText("", status = HttpStatusCode(BAD_GATEWAY, "Lost"))
        StoreReply.NoAnswer -> awaitCancellation()
    }
}

private fun failureOf(error: StoreError): StoreFailure =
    when (error) {
        is StoreError.Conflict ->
            StoreFailure(StoreFailureCode.CONFLICT, error.message, current = error.current)
        is StoreError.NotFound ->
            StoreFailure(StoreFailureCode.NOT_FOUND, error.message)
        is StoreError.Compacted ->
            StoreFailure(StoreFailureCode.COMPACTED, error.message, oldest = error.oldest)
        is StoreError.TooLarge ->
            StoreFailure(StoreFailureCode.TOO_LARGE, error.message, bytes = error.bytes, limit = error.limit)
        is StoreError.Rejected, is StoreError.Unavailable, is StoreError.Unanswered ->
            StoreFailure(StoreFailureCode.INVALID, error.message)
    }

private fun statusOf(code: StoreFailureCode): HttpStatusCode =
    when (code) {
        StoreFailureCode.CONFLICT -> HttpStatusCode.Conflict
        StoreFailureCode.NOT_FOUND -> HttpStatusCode.NotFound
        StoreFailureCode.COMPACTED -> HttpStatusCode.Gone
        StoreFailureCode.TOO_LARGE -> HttpStatusCode.PayloadTooLarge
        StoreFailureCode.INVALID -> HttpStatusCode.BadRequest
    }

private suspend fun respondJson(
    call: ApplicationCall,
    text: String,
) {
    call.respondText(text, ContentType.Application.Json)
}

private suspend fun respondFailure(
    call: ApplicationCall,
    failure: StoreFailure,
) {
    call.respondText(Json.encodeToString(failure), ContentType.Application.Json, statusOf(failure.code))
}
