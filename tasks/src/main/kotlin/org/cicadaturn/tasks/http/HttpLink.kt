package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.tasks.FatalErrorHandler
import org.cicadaturn.tasks.fatalErrorIn
import java.io.ByteArrayOutputStream
import java.net.SocketException
import kotlin.time.Duration
import kotlinx.coroutines.channels.Channel as Inbox

/**
 * HTTP/1.1 connection of a client or a server.
 *
 * The socket is read on demand, so that at most the content of one read buffer is decoded but not yet received, and of a
 * client's requests at most one. A link is used by one coroutine at a time, on the event loop.
 */
public interface HttpLink {
    /** Completes when the connection has ended for any reason. */
    public val closed: Deferred<Unit>

    /** How the connection to a server has ended; null while it is open, and for the connection of a client. */
    public val end: ConnectionEnd? get() = null

    /**
     * True if the connection is open, all parts that have arrived were received and [hasSurplus] is false, so that the
     * next request can be sent.
     */
    public val isIdle: Boolean

    /** True if a server has sent bytes that belong to no request; what follows on the connection cannot be trusted. */
    public val hasSurplus: Boolean

    /** True if a server has sent a part of a head, but not its end. */
    public val isWithinHead: Boolean

    /** True if bytes of a request have arrived from a client that were not received yet. */
    public val hasRequest: Boolean get() = false

    /** Account of the connection of a client, or null if the other side is a server. */
    public val account: ConnectionAccount? get() = null

    /** Waits until bytes of a request have arrived from a client; returns false if the connection has ended before. */
    public suspend fun awaitRequest(): Boolean

    /**
     * Returns the next part, or null if the connection has ended. A truncated message has neither [HttpPart.End] nor
     * [HttpPart.EndByClose].
     */
    public suspend fun receive(): HttpPart?

    /** Reads and drops all that a client sends from now on; the connection cannot be used for another request. */
    public fun discardInput() {}

    /** Requests a read from the socket, so that the end of the connection is detected while no part is awaited. */
    public fun readAhead()

    /** Sends a complete request; the result is true once it was written to the socket and false if that failed. */
    public fun sendRequest(
        head: RequestHead,
        body: ByteArray,
    ): Deferred<Boolean>

    /** Sends the interim answer 100 Continue, after which the caller sends the body. */
    public suspend fun sendContinue(): Boolean

    /** Sends a complete answer; returns true if it was written to the socket. */
    public suspend fun sendResponse(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean

    /** Sends the head of an answer whose body follows in pieces. */
    public suspend fun sendHead(head: ResponseHead): Boolean

    /** Sends a piece of the body of an answer. */
    public suspend fun sendData(bytes: ByteArray): Boolean

    /** Sends the end of an answer whose body was sent in pieces. */
    public suspend fun sendEnd(): Boolean

    /** Closes the connection. */
    public fun close()
}

/**
 * Parts of a connection whose other side is a client.
 *
 * @property writeTimeout returns the time after which the connection is closed if the client reads nothing of an answer
 */
internal class ServerSide(
    val encoder: AnswerEncoder,
    val decoder: RequestDecoder,
    val account: ConnectionAccount,
    val writeTimeout: () -> Duration,
)

/**
 * @property decoder decoder of the answers, or null if the other side is a client
 * @property server parts for a client on the other side, or null if that is a server
 */
internal class NettyLink(
    private val channel: Channel,
    private val onFatalError: FatalErrorHandler,
    private val decoder: AnswerDecoder? = null,
    private val server: ServerSide? = null,
) : ChannelInboundHandlerAdapter(),
    HttpLink {
    // Unbounded, but filled by one read of the socket, or with the next request, when the inbox is empty.
    private val inbox = Inbox<HttpPart>(Inbox.UNLIMITED)

    // A cancelled receive from a channel may lose its element, so a wait only takes a signal and never a part.
    private val arrivals = Inbox<Unit>(Inbox.CONFLATED)
    private val ended = CompletableDeferred<Unit>()
    private var pending = 0

    /** Content that has arrived but was not delivered yet. */
    private var pieces = ByteArrayOutputStream(0)

    /** How the connection has ended, if not by the other side closing it. */
    private var otherEnd: ConnectionEnd? = null

    override val closed: Deferred<Unit> get() = ended
    override val end: ConnectionEnd?
        get() =
            when {
                decoder == null -> null
                decoder.isInputClosed -> ConnectionEnd.CLOSED_BY_ENDPOINT
                otherEnd != null -> otherEnd
                else -> ConnectionEnd.FAILED.takeIf { ended.isCompleted }
            }
    override val hasSurplus: Boolean get() = decoder?.hasSurplus == true
    override val isWithinHead: Boolean get() = decoder?.isWithinHead == true
    override val hasRequest: Boolean
        get() = server != null && (pending > 0 || server.decoder.isWithinRequest)
    override val account: ConnectionAccount? get() = server?.account
    override val isIdle: Boolean get() = channel.isActive && pending == 0 && !hasSurplus

    override suspend fun receive(): HttpPart? {
        while (true) {
            val ready = inbox.tryReceive()
            ready.getOrNull()?.let { return received(it) }
            if (ready.isClosed) return null
            decodeNext()
            if (pending > 0) continue
            channel.read()
            arrivals.receiveCatching()
        }
    }

    override suspend fun awaitRequest(): Boolean {
        while (!hasRequest) {
            if (ended.isCompleted) return false
            decodeNext()
            if (hasRequest) return true
            channel.read()
            arrivals.receiveCatching()
        }
        return true
    }

    /** Decodes what has arrived of the next request of a client. */
    private fun decodeNext() {
        server?.decoder?.let { it.decodeNext(channel.pipeline().context(it)) }
        deliverData()
    }

    private fun received(part: HttpPart): HttpPart {
        pending -= 1
        if (part is HttpPart.Request) server?.encoder?.isHeadRequest = part.head.method == "HEAD"
        return part
    }

    override fun readAhead() {
        // Further requests that have arrived are not added to while they wait.
        if (server?.decoder?.isWithinRequest != true) channel.read()
    }

    override fun discardInput() {
        server?.decoder?.let { it.discard(channel.pipeline().context(it)) }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject) handle(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun handle(message: HttpObject) {
        val failure = message.decoderResult().cause()
        if (failure != null) {
            deliverData()
            return deliver(HttpPart.Malformed(failure.message ?: failure.toString(), statusOf(failure)))
        }
        if (message is HttpRequest) deliver(HttpPart.Request(requestHead(message)))
        if (message is HttpResponse) deliver(HttpPart.Response(responseHead(message)))
        if (message is HttpContent) handleContent(message)
    }

    private fun handleContent(message: HttpContent) {
        val content = message.content()
        if (content.isReadable) content.readBytes(pieces, content.readableBytes())
        if (message is LastHttpContent) deliverEnd()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        deliverData()
        if (server?.decoder?.isWithinRequest == true) arrivals.trySend(Unit)
    }

    /** Delivers the content that has arrived as one part, as chunks may have one byte each. */
    private fun deliverData() {
        if (pieces.size() == 0) return
        val bytes = pieces.toByteArray()
        // The next piece may be small, and a buffer does not shrink.
        pieces = ByteArrayOutputStream(0)
        deliver(HttpPart.Data(bytes))
    }

    /** The decoder also reports an end if a body without a length is cut, by a reset or as this process ends it. */
    private fun deliverEnd() {
        deliverData()
        when {
            decoder == null || !decoder.hasEnded -> deliver(HttpPart.End)
            end == ConnectionEnd.CLOSED_BY_ENDPOINT -> deliver(HttpPart.EndByClose)
        }
    }

    private fun deliver(part: HttpPart) {
        if (!inbox.trySend(part).isSuccess) return
        pending += 1
        arrivals.trySend(Unit)
    }

    /** The other side has closed its output. Nothing more can arrive, so this side is closed as well. */
    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent) context.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        deliverData()
        inbox.close()
        arrivals.close()
        ended.complete(Unit)
    }

    @Deprecated("deprecated in Netty")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        fatalErrorIn(cause)?.let(onFatalError)
        if (end == null) otherEnd = if (cause is SocketException) ConnectionEnd.RESET else ConnectionEnd.FAILED
        context.close()
    }

    override fun sendRequest(
        head: RequestHead,
        body: ByteArray,
    ): Deferred<Boolean> {
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(head.method),
                head.target,
                buffer(body),
                unvalidated,
                unvalidated,
            )
        fill(request.headers(), head.headers)
        if (body.isNotEmpty() ||
            head.method in METHODS_WITH_BODY
        ) {
            HttpUtil.setContentLength(request, body.size.toLong())
        }
        decoder?.requestSent(head.method)
        val sent = CompletableDeferred<Boolean>()
        channel.writeAndFlush(request).addListener { sent.complete(it.isSuccess) }
        return sent
    }

    override suspend fun sendContinue(): Boolean =
        awaitWrite(
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)),
        )

    override suspend fun sendResponse(
        head: ResponseHead,
        body: ByteArray,
    ): Boolean {
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                statusLine(head.status),
                buffer(body),
                unvalidated,
                unvalidated,
            )
        fill(response.headers(), head.headers)
        // The length of the body that a GET would get is not known.
        val isHead = server?.encoder?.isHeadRequest == true
        if (!isHead || body.isNotEmpty()) HttpUtil.setContentLength(response, body.size.toLong())
        if (head.closesConnection) HttpUtil.setKeepAlive(response, false)
        return awaitWrite(channel.writeAndFlush(response))
    }

    override suspend fun sendHead(head: ResponseHead): Boolean {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, statusLine(head.status), unvalidated)
        fill(response.headers(), head.headers)
        HttpUtil.setTransferEncodingChunked(response, true)
        if (head.closesConnection) HttpUtil.setKeepAlive(response, false)
        return awaitWrite(channel.write(response), isAwaited = false)
    }

    override suspend fun sendData(bytes: ByteArray): Boolean =
        awaitWrite(channel.writeAndFlush(DefaultHttpContent(buffer(bytes))))

    override suspend fun sendEnd(): Boolean = awaitWrite(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

    override fun close() {
        if (end == null) otherEnd = ConnectionEnd.CLOSED_BY_GATEWAY
        channel.close()
    }

    /**
     * Waits for [write] and returns true if it succeeded; if not [isAwaited], returns true if the connection is open.
     *
     * Waiting for writes limits the memory used for a peer that does not read. A client that reads nothing for the write
     * timeout is cut off, as it would hold its connection and its request for ever.
     */
    private suspend fun awaitWrite(
        write: ChannelFuture,
        isAwaited: Boolean = true,
    ): Boolean {
        if (!isAwaited) return channel.isActive
        if (write.isDone) return write.isSuccess
        val done = CompletableDeferred<Boolean>()
        write.addListener { done.complete(it.isSuccess) }
        if (server == null) return done.await()
        val use = server.account.use
        server.account.use = ConnectionUse.STALLED
        try {
            return awaitReader(done, server)
        } finally {
            server.account.use = use
        }
    }

    private suspend fun awaitReader(
        done: Deferred<Boolean>,
        server: ServerSide,
    ): Boolean {
        var unread = unreadBytes()
        while (true) {
            withTimeoutOrNull(server.writeTimeout()) { done.await() }?.let { return it }
            val left = unreadBytes()
            if (left >= unread) {
                server.account.lost(ConnectionLoss.UNREAD_ANSWER)
                close()
                return false
            }
            unread = left
        }
    }

    /** Returns the number of bytes that were written but not taken by the socket yet. */
    private fun unreadBytes(): Long {
        val buffer = channel.unsafe().outboundBuffer() ?: return 0
        return buffer.totalPendingWriteBytes() - buffer.currentProgress()
    }
}

/**
 * Returns the head of the next request or an unreadable one; returns null if the connection ends, if no request begins
 * within [idleTimeout], or if its head is not complete within [headTimeout] from then on.
 */
public suspend fun HttpLink.receiveRequest(
    idleTimeout: Duration,
    headTimeout: Duration,
): HttpPart? {
    if (withTimeoutOrNull(idleTimeout) { awaitRequest() } != true) return null
    val part = withTimeoutOrNull(headTimeout) { receive() }
    if (part == null && !closed.isCompleted) account?.lost(ConnectionLoss.SLOW_HEAD)
    return part
}

private fun buffer(bytes: ByteArray): ByteBuf =
    if (bytes.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(bytes)

private fun statusLine(status: Int): HttpResponseStatus = HttpResponseStatus.valueOf(status)

private fun fill(
    target: HttpHeaders,
    headers: List<Header>,
) {
    headers.forEach { target.add(it.name, it.value) }
}

private fun requestHead(request: HttpRequest): RequestHead =
    RequestHead(request.method().name(), request.uri(), headersOf(request.headers()), !HttpUtil.isKeepAlive(request))

private fun responseHead(response: HttpResponse): ResponseHead =
    ResponseHead(response.status().code(), headersOf(response.headers()), !HttpUtil.isKeepAlive(response))

private fun headersOf(headers: HttpHeaders): List<Header> {
    val list = ArrayList<Header>(headers.size())
    val entries = headers.iteratorAsString()
    while (entries.hasNext()) entries.next().let { list += Header(it.key, it.value) }
    return list
}

private fun statusOf(failure: Throwable): Int =
    when (failure) {
        is TooLongFrameException -> HEADERS_TOO_LARGE
        is MemoryShortageException -> UNAVAILABLE
        else -> BAD_REQUEST
    }

/** Headers without validation, as their values were validated when they were decoded. */
private val unvalidated = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
private const val BAD_REQUEST = 400
private const val HEADERS_TOO_LARGE = 431
private const val UNAVAILABLE = 503
