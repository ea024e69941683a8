package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
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
import org.cicadaturn.decisions.gateway.ConnectionEnd
import org.cicadaturn.schema.generated.Header
import org.cicadaturn.tasks.FatalErrorHandler
import org.cicadaturn.tasks.fatalErrorIn
import java.io.ByteArrayOutputStream
import java.net.SocketException
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

    /**
     * Returns the next part, or null if the connection has ended. A truncated message has neither [HttpPart.End] nor
     * [HttpPart.EndByClose].
     */
    public suspend fun receive(): HttpPart?

    /** Requests a read from the socket, so that the end of the connection is detected while no part is awaited. */
    public fun readAhead()

    /** Sends a complete request; the result is true once it was written to the socket and false if that failed. */
    public fun sendRequest(
        head: RequestHead,
        body: ByteArray,
    ): Deferred<Boolean>

    /** Sends the interim answer 100 Continue, after which the caller sends the body. */
    public fun sendContinue()

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
 * @property decoder decoder of the answers, or null if the other side is a client
 * @property encoder encoder of the answers, or null if the other side is a server
 * @property requestDecoder decoder of the requests, or null if the other side is a server
 */
internal class NettyLink(
    private val channel: Channel,
    private val onFatalError: FatalErrorHandler,
    private val decoder: AnswerDecoder? = null,
    private val encoder: AnswerEncoder? = null,
    private val requestDecoder: RequestDecoder? = null,
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
        get() = requestDecoder != null && (pending > 0 || requestDecoder.isWithinRequest)
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

    /** Decodes what has arrived of the next request of a client. */
    private fun decodeNext() {
        requestDecoder?.decodeNext(channel.pipeline().context(requestDecoder))
        deliverData()
    }

    private fun received(part: HttpPart): HttpPart {
        pending -= 1
        if (part is HttpPart.Request) encoder?.isHeadRequest = part.head.method == "HEAD"
        return part
    }

    override fun readAhead() {
        // Further requests that have arrived are not added to while they wait.
        if (requestDecoder?.isWithinRequest != true) channel.read()
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
        if (message.content().isReadable) pieces.writeBytes(ByteBufUtil.getBytes(message.content()))
        if (message is LastHttpContent) deliverEnd()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        deliverData()
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

    override fun sendContinue() {
        channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

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
        val isHead = encoder?.isHeadRequest == true
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
     * Waiting for writes limits the memory used for a peer that does not read.
     */
    private suspend fun awaitWrite(
        write: ChannelFuture,
        isAwaited: Boolean = true,
    ): Boolean {
        if (!isAwaited) return channel.isActive
        val done = CompletableDeferred<Boolean>()
        write.addListener { done.complete(it.isSuccess) }
        return done.await()
    }
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

private fun statusOf(failure: Throwable): Int = if (failure is TooLongFrameException) HEADERS_TOO_LARGE else BAD_REQUEST

/** Headers without validation, as their values were validated when they were decoded. */
private val unvalidated = DefaultHttpHeadersFactory.headersFactory().withValidation(false)

private val METHODS_WITH_BODY = setOf("POST", "PUT", "PATCH")
private const val BAD_REQUEST = 400
private const val HEADERS_TOO_LARGE = 431
