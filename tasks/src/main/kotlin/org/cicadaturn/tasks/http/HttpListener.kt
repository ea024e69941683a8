package org.cicadaturn.tasks.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ByteProcessor
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.cicadaturn.schema.generated.NetworkAddress
import java.net.InetSocketAddress

/** Listening socket. */
public interface HttpListener {
    /** Address of the socket, with the port that the system chose if port 0 was requested. */
    public val address: NetworkAddress

    /** Stops accepting connections; open connections stay open. */
    public suspend fun close()
}

/**
 * Listens on [address] and runs [serve] in [scope] for each connection, which is closed when [serve] returns.
 *
 * @param headerBytes longest request line and longest sum of header lines, in bytes
 */
public suspend fun listen(
    runtime: HttpRuntime,
    scope: CoroutineScope,
    address: NetworkAddress,
    headerBytes: Int,
    serve: suspend (HttpLink) -> Unit,
): HttpListener {
    val initializer =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                val encoder = AnswerEncoder()
                val decoder = StrictRequestDecoder(headerBytes)
                val link = NettyLink(channel, runtime.onFatalError, encoder = encoder, requestDecoder = decoder)
                channel.pipeline().addLast(decoder, encoder, link)
                scope.launch {
                    try {
                        serve(link)
                    } finally {
                        link.close()
                    }
                }
            }
        }
    val server =
        ServerBootstrap()
            .group(runtime.group())
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, oneBufferPerRead)
            .handler(FatalErrorReporter(runtime.onFatalError))
            .childHandler(initializer)
    keepAliveOptions.forEach { (option, value) ->
        @Suppress("UNCHECKED_CAST")
        server.childOption(option as ChannelOption<Any>, value)
    }
    val channel = server.bind(InetSocketAddress(address.ip, address.port)).also { it.awaitDone() }.channel()
    return NettyListener(channel, address.ip)
}

private class NettyListener(
    private val channel: Channel,
    ip: String,
) : HttpListener {
    override val address = NetworkAddress(ip, (channel.localAddress() as InetSocketAddress).port)

    override suspend fun close() {
        channel.close().awaitDone()
    }
}

/** Decoder that refuses requests with an ambiguous length, which would allow request smuggling. */
internal class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setChunkedSupported(true)
            .setAllowDuplicateContentLengths(false),
    ) {
    /** True if bytes of a request have arrived, but not its end. */
    var isWithinRequest = false
        private set

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        // Line ends between two requests are skipped and begin none.
        val isBlank = !isWithinRequest && buffer.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0
        super.decode(context, buffer, out)
        isWithinRequest = !isBlank && out.lastOrNull() !is LastHttpContent
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Transfer-Encoding and Content-Length; send one of them")
}

/** Encoder of the answers on a connection, which leaves out the body of an answer to HEAD. */
internal class AnswerEncoder : HttpResponseEncoder() {
    /** True if the answers that follow are to a request with the method HEAD. */
    var isHeadRequest = false

    override fun isContentAlwaysEmpty(message: HttpResponse): Boolean =
        isHeadRequest || super.isContentAlwaysEmpty(message)
}

/** Length of the accept queue; a restart of callers opens many connections at once. */
private const val BACKLOG = 512
