package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ByteProcessor
import org.cicadaturn.decisions.connection.headMemory

/**
 * Decoder of the requests on a connection. It refuses requests with an ambiguous length, which would allow request
 * smuggling.
 *
 * One request is decoded at a time, and the next one only after [decodeNext]: bytes of requests that were sent ahead
 * become many times as large when they are decoded. A head is decoded once all of it has arrived.
 *
 * @param headBytes returns the maximum size of a head in bytes, with its line ends
 * @param account account of the connection, for its input and for the request that was decoded last
 */
internal class RequestDecoder(
    private val headBytes: () -> Int,
    private val account: ConnectionAccount,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_DECODED_HEAD_BYTES)
            .setMaxHeaderSize(MAX_DECODED_HEAD_BYTES)
            .setChunkedSupported(true)
            .setTrailersFactory(DroppedHeadersFactory)
            .setAllowDuplicateContentLengths(false),
    ) {
    private enum class Stage {
        HEAD,
        BODY,

        /** A request has been decoded, and the next one is not wanted yet. */
        COMPLETE,

        /** The input is not a request, or was dropped, so what follows cannot be read. */
        UNREADABLE,
    }

    private val scan = HeadScan()
    private var stage = Stage.HEAD
    private var blankBytes = 0
    private var hasDecoded = false

    /** Memory for the head and a small body of the request that was decoded last. */
    private var requestMemory = 0L

    init {
        setCumulator(CompactCumulator)
    }

    /** True if bytes of a request have arrived, but not its end. */
    val isWithinRequest: Boolean
        get() = stage == Stage.BODY || (actualReadableBytes() > 0 && hasRequestBytes(internalBuffer()))

    /** Decodes the next request as far as it has arrived; called when the present one has been taken. */
    fun decodeNext(context: ChannelHandlerContext) {
        if (stage == Stage.UNREADABLE) context.close()
        if (stage != Stage.COMPLETE) return
        stage = Stage.HEAD
        blankBytes = 0
        requestMemory = 0
        if (actualReadableBytes() > 0) channelRead(context, Unpooled.EMPTY_BUFFER)
        holdInput(context)
    }

    /** Drops the input that has arrived and all that follows. */
    fun discard(context: ChannelHandlerContext) {
        stage = Stage.UNREADABLE
        channelRead(context, Unpooled.EMPTY_BUFFER)
        context.read()
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        discardSomeReadBytes()
        holdInput(context)
        // Bytes of a request that is not complete are followed by others. More bytes than those of one read do not
        // accumulate behind a request that is in progress.
        if (!hasDecoded && stage != Stage.COMPLETE) context.read()
        hasDecoded = false
        context.fireChannelReadComplete()
    }

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        when (stage) {
            Stage.HEAD -> decodeHead(context, buffer, out)
            Stage.BODY -> super.decode(context, buffer, out)
            Stage.COMPLETE -> return
            Stage.UNREADABLE -> buffer.skipBytes(buffer.readableBytes())
        }
        if (out.isNotEmpty()) hasDecoded = true
        if (out.lastOrNull() is LastHttpContent) stage = Stage.COMPLETE
    }

    private fun decodeHead(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        skipLineEnds(buffer)
        val length = scan.lengthIn(buffer)
        val limit = headBytes()
        if (maxOf(length, blankBytes) > limit || (length < 0 && buffer.readableBytes() > limit)) {
            account.lost(ConnectionLoss.LONG_HEAD)
            return refuse(buffer, out, TooLongHttpHeaderException("head over $limit bytes"))
        }
        if (length < 0) return
        val memory = headMemory(length, scan.lines)
        scan.reset()
        if (!account.hold(buffer.capacity() + memory)) {
            account.lost(ConnectionLoss.NO_MEMORY)
            return refuse(buffer, out, MemoryShortageException())
        }
        requestMemory = memory
        val head = buffer.readSlice(length)
        stage = Stage.BODY
        super.decode(context, head, out)
        // Blanks and control characters before a request line form no head of their own.
        if (out.isEmpty()) stage = Stage.HEAD
        if (out.isNotEmpty() && out.last() !is LastHttpContent) requestMemory += SMALL_BODY_BYTES
    }

    /** Requests memory for the input that is kept; without it, the input is dropped and the connection closed. */
    private fun holdInput(context: ChannelHandlerContext) {
        if (stage == Stage.UNREADABLE || account.hold(internalBuffer().capacity() + requestMemory)) return
        account.lost(ConnectionLoss.NO_MEMORY)
        // The request in progress is answered before the connection is closed.
        if (stage != Stage.COMPLETE) {
            context.close()
        } else {
            stage = Stage.UNREADABLE
            channelRead(context, Unpooled.EMPTY_BUFFER)
        }
    }

    /** Skips line ends before a request, which older clients send after a body. */
    private fun skipLineEnds(buffer: ByteBuf) {
        val first = buffer.forEachByte(ByteProcessor.FIND_NON_CRLF)
        val count = if (first < 0) buffer.readableBytes() else first - buffer.readerIndex()
        buffer.skipBytes(count)
        blankBytes += count
    }

    private fun refuse(
        buffer: ByteBuf,
        out: MutableList<Any>,
        cause: Exception,
    ) {
        stage = Stage.UNREADABLE
        buffer.skipBytes(buffer.readableBytes())
        out += createInvalidMessage().also { it.decoderResult = DecoderResult.failure(cause) }
    }

    private fun hasRequestBytes(buffer: ByteBuf): Boolean = buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length; send one of them")
}

/** Failure of a request for whose head there is not enough memory at present. */
internal class MemoryShortageException : Exception("the memory for connections is used up", null, false, false)

/** Size up to which bodies are not charged to the memory for bodies. */
private const val SMALL_BODY_BYTES = 4_096

/** Limit of the decoder for a line and for all lines of a head; heads that are longer are refused before. */
private const val MAX_DECODED_HEAD_BYTES = 131_072
