package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.cicadaturn.decisions.connection.headMemory

/**
 * Decoder of the answers on a connection, which detects bytes that belong to no request.
 *
 * A server may send its answer a second time and stop within it. What follows on the connection then completes the
 * copy: two heads become one, with the status of the first answer and the headers of the second.
 *
 * A head is decoded once all of it has arrived. Interim answers are dropped, as a server may send them without end.
 *
 * @param account account of the connection, for its input and for the head of the answer
 */
internal class AnswerDecoder(
    config: HttpDecoderConfig,
    private val account: ConnectionAccount,
) : HttpResponseDecoder(config.setTrailersFactory(DroppedHeadersFactory)) {
    private val scan = HeadScan()
    private var isAwaitingAnswer = false
    private var isHeadRequest = false
    private var isInterim = false
    private var isWithinBody = false
    private var hasDecoded = false
    private var headMemory = 0L

    /** Text of the head that is decoded, as the decoder drops parts of lines that it cannot read. */
    private var head = ""

    init {
        setCumulator(CompactCumulator)
    }

    /** True if bytes have arrived while no request was waiting for its answer, even if they form no message yet. */
    var hasSurplus = false
        private set

    /** True once the server has closed its output, after which a reset cannot have taken away a part of an answer. */
    var isInputClosed = false
        private set

    /** True once the connection has ended for any reason, which ends a body without a length. */
    var hasEnded = false
        private set

    /** True if a part of a head has arrived, but not its end. */
    val isWithinHead: Boolean get() = !isWithinBody && actualReadableBytes() > 0

    /** Records that a request with [method] is sent, so that the bytes that follow may be its answer. */
    fun requestSent(method: String) {
        isAwaitingAnswer = true
        isHeadRequest = method == "HEAD"
        headMemory = 0
    }

    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        // Set first, as the decoder ends a body without a length on this event.
        if (event is ChannelInputShutdownEvent) {
            isInputClosed = true
            hasEnded = true
        }
        super.userEventTriggered(context, event)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        hasEnded = true
        super.channelInactive(context)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        discardSomeReadBytes()
        if (!account.hold(internalBuffer().capacity() + headMemory)) context.close()
        // Bytes behind an answer are not read on, as they belong to no request.
        if (!hasDecoded && isAwaitingAnswer) context.read()
        hasDecoded = false
        context.fireChannelReadComplete()
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (!isAwaitingAnswer) hasSurplus = true
        val begin = out.size
        if (isWithinBody) super.decode(context, buffer, out) else decodeHead(context, buffer, out)
        for (i in begin until out.size) {
            val message = out[i]
            if (message is HttpResponse) headDecoded(message)
            if (message is LastHttpContent) bodyDecoded()
        }
        if (isInterim) while (out.size > begin) out.removeAt(out.size - 1)
        isInterim = false
        if (out.isNotEmpty()) hasDecoded = true
    }

    private fun decodeHead(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val length = scan.lengthIn(buffer)
        if (length < 0 && buffer.readableBytes() <= MAX_HEAD_BYTES) return
        val lines = scan.lines
        scan.reset()
        if (length !in 0..MAX_HEAD_BYTES) return refuse(buffer, out, "head over $MAX_HEAD_BYTES bytes")
        headMemory = headMemory(length, lines)
        if (!account.hold(buffer.capacity() + headMemory)) return refuse(buffer, out, "no memory for its head")
        head = buffer.toString(buffer.readerIndex(), length, Charsets.ISO_8859_1)
        super.decode(context, buffer.readSlice(length), out)
    }

    private fun refuse(
        buffer: ByteBuf,
        out: MutableList<Any>,
        defect: String,
    ) {
        buffer.skipBytes(buffer.readableBytes())
        out +=
            createInvalidMessage().also { it.decoderResult = DecoderResult.failure(IllegalArgumentException(defect)) }
    }

    private fun headDecoded(response: HttpResponse) {
        val defect = defectOf(response)
        if (response.decoderResult().isSuccess && defect != null) {
            response.decoderResult = DecoderResult.failure(IllegalArgumentException(defect))
        }
        isInterim = response.decoderResult().isSuccess && isInterim(response)
        isWithinBody = true
    }

    /** No request asks for another protocol, so an answer that switches to one is not interim. */
    private fun isInterim(response: HttpResponse): Boolean =
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL &&
            response.status() != HttpResponseStatus.SWITCHING_PROTOCOLS

    private fun bodyDecoded() {
        isWithinBody = false
        if (!isInterim) isAwaitingAnswer = false
    }

    /**
     * Returns why [response] cannot be read, or null. The head of one that begins with a part of another one contains a
     * second status line. HTTP/1.0 has no transfer encodings, so such an answer is framed otherwise than it says.
     */
    private fun defectOf(response: HttpResponse): String? {
        val version = response.protocolVersion()
        return when {
            version !in VERSIONS -> "protocol $version"
            !WHOLE_STATUS_LINE.matchesAt(head.trimStart(), 0) -> "a status that is not of three digits"
            STATUS_LINE.find(head.trimStart(), startIndex = 1) != null -> "a status line within a head"
            version == HttpVersion.HTTP_1_0 && response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) ->
                "a transfer encoding in HTTP/1.0"
            else -> null
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}

/** Looks for a status line in a body that arrives in pieces, as if a second answer stood within the first. */
internal class StatusLineSearch {
    private var tail = ""

    /** True if the pieces so far contain a status line. */
    var isFound = false
        private set

    /** Adds the next piece of the body. */
    fun add(bytes: ByteArray) {
        if (isFound) return
        val text = tail + String(bytes, Charsets.ISO_8859_1)
        isFound = STATUS_LINE in text
        tail = text.takeLast(MAX_STATUS_LINE_CHARACTERS)
    }
}

/** Longest head of an answer, with its line ends. */
private const val MAX_HEAD_BYTES = 65_536

/** Longest status line that is found across two pieces; servers put one blank before the status. */
private const val MAX_STATUS_LINE_CHARACTERS = 32
private val VERSIONS = setOf(HttpVersion.HTTP_1_0, HttpVersion.HTTP_1_1)

/** Beginning of a status line. The decoder also accepts a sign and more or fewer digits (RFC 9112, section 4). */
private val WHOLE_STATUS_LINE = Regex("""\S+[ \t]+\d{3}(?!\S)""")

/** Status line in any form that the decoder accepts. */
private val STATUS_LINE = Regex("""HTTP/\d\.\d\s+\d{3}""", RegexOption.IGNORE_CASE)
