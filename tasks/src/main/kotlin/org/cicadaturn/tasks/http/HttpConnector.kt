package org.cicadaturn.tasks.http

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelException
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequestEncoder
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import org.cicadaturn.decisions.connection.ConnectionLimits
import org.cicadaturn.decisions.connection.ConnectionUse
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.tasks.FatalErrorHandler
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.ConnectException
import java.net.InetSocketAddress
import java.net.SocketException
import kotlin.time.Duration

/** Result of opening a connection. */
public sealed interface Opening {
    /** The connection is open. */
    public class Opened(
        public val link: HttpLink,
    ) : Opening

    /** The host has refused the connection, as nothing listens at the address. */
    public data object Refused : Opening

    /** The connection was reset as it was established. */
    public data object Reset : Opening

    /** The connection was not established in time, or this process could open no socket for it. */
    public data object Failed : Opening
}

/** Opens connections to servers. */
public fun interface HttpConnector {
    /** Opens a connection to [address], which must be established within [timeout]. */
    public suspend fun open(
        address: NetworkAddress,
        timeout: Duration,
    ): Opening

    /**
     * Returns the longest part of the last [age] for which what arrived on the connections may have waited to be read, if
     * it has ended within the last second; zero if it is not measured.
     */
    public fun stallWithin(age: Duration): Duration = Duration.ZERO
}

/** Returns a connection to [address], or null if none could be established within [timeout]. */
public suspend fun HttpConnector.connect(
    address: NetworkAddress,
    timeout: Duration,
): HttpLink? = (open(address, timeout) as? Opening.Opened)?.link

/**
 * Returns true if connections to [address] are refused, as nothing listens there any more, and false if one could be made
 * or if that takes longer than [timeout].
 */
public suspend fun HttpConnector.isRefusedAt(
    address: NetworkAddress,
    timeout: Duration,
): Boolean {
    val opening = open(address, timeout)
    if (opening is Opening.Opened) opening.link.close()
    return opening == Opening.Refused
}

/** Returns a connector whose connections run on [runtime] and have [accounts] for the heads of their answers. */
public fun httpConnector(
    runtime: HttpRuntime,
    accounts: ConnectionAccounts = connectionAccounts(ANSWER_LIMITS),
): HttpConnector = httpConnector(runtime, accounts, ::NioSocketChannel)

/** Returns a connector as above that creates the socket of each connection with [newSocket]. */
internal fun httpConnector(
    runtime: HttpRuntime,
    accounts: ConnectionAccounts,
    newSocket: () -> SocketChannel,
): HttpConnector {
    val initializer = ClientInitializer(runtime.onFatalError, accounts)
    return LoopConnector(runtime, initializer, newSocket)
}

private class LoopConnector(
    private val runtime: HttpRuntime,
    private val initializer: ClientInitializer,
    private val newSocket: () -> SocketChannel,
) : HttpConnector {
    override fun stallWithin(age: Duration): Duration = runtime.stallWithin(age)

    override suspend fun open(
        address: NetworkAddress,
        timeout: Duration,
    ): Opening {
        val client =
            Bootstrap()
                .group(runtime.group())
                .channelFactory { newSocket() }
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                // Tells a connection that the server closes from one that ends otherwise.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, oneBufferPerRead)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout.inWholeMilliseconds.toInt().coerceAtLeast(1))
                .handler(initializer)
        keepAliveOptions.forEach { (option, value) ->
            @Suppress("UNCHECKED_CAST")
            client.option(option as ChannelOption<Any>, value)
        }
        val connecting = client.connect(InetSocketAddress(address.ip, address.port))
        return try {
            connecting.awaitDone()
            (connecting.channel().pipeline().last() as? NettyLink)?.let { Opening.Opened(it) } ?: Opening.Failed
        } catch (e: ConnectTimeoutException) {
            Opening.Failed
        } catch (e: ConnectException) {
            Opening.Refused
        } catch (e: IOException) {
            if (isReset(e)) Opening.Reset else Opening.Failed
        } catch (e: ChannelException) {
            // Netty reports with this type that no socket can be created, as when all descriptors are in use.
            Opening.Failed
        } finally {
            // Closes a connection that a cancelled caller will not receive; one without a socket cannot be closed.
            val channel = connecting.channel()
            if (channel.isOpen && !currentCoroutineContext().isActiveNow()) channel.close()
        }
    }
}

/**
 * Returns true if [failure] to connect is a reset behind the handshake. Only its message tells it from failures without a
 * type of their own, such as a lack of file descriptors, which say nothing about the server.
 */
internal fun isReset(failure: IOException): Boolean =
    failure is SocketException && failure.message?.startsWith("Connection reset") == true

private fun kotlin.coroutines.CoroutineContext.isActiveNow(): Boolean = runCatching { ensureActive() }.isSuccess

private class ClientInitializer(
    private val onFatalError: FatalErrorHandler,
    private val accounts: ConnectionAccounts,
) : ChannelInitializer<SocketChannel>() {
    override fun isSharable(): Boolean = true

    override fun initChannel(channel: SocketChannel) {
        val account = accounts.open { channel.close() }
        if (account == null) {
            channel.close()
            return
        }
        // The request of a connection is known to its caller, who closes it.
        account.use = ConnectionUse.SERVING
        channel.closeFuture().addListener { account.close() }
        val config = HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES)
        val decoder = AnswerDecoder(config, account)
        channel.pipeline().addLast(decoder, HttpRequestEncoder(), NettyLink(channel, onFatalError, decoder))
    }
}

/**
 * Complete answer.
 *
 * @property body body, not longer than the limit of the call
 */
public class HttpAnswer(
    public val head: ResponseHead,
    public val body: ByteArray,
)

/**
 * Sends a request with [head] and [body] and returns the complete answer, or null if none arrived within [timeout],
 * its body is longer than [answerLimit] bytes or [reserve] returns false for its length so far.
 */
public suspend fun HttpLink.call(
    head: RequestHead,
    body: ByteArray,
    timeout: Duration,
    answerLimit: Int,
    reserve: (Int) -> Boolean = { true },
): HttpAnswer? =
    withTimeoutOrNull(timeout) {
        sendRequest(head, body)
        receiveAnswer(answerLimit, reserve)
    }

private suspend fun HttpLink.receiveAnswer(
    limit: Int,
    reserve: (Int) -> Boolean,
): HttpAnswer? {
    val head = (receive() as? HttpPart.Response)?.head ?: return null
    val body = ByteArrayOutputStream()
    while (true) {
        when (val part = receive()) {
            is HttpPart.Data -> body.write(part.bytes)
            HttpPart.End, HttpPart.EndByClose -> return HttpAnswer(head, body.toByteArray())
            else -> return null
        }
        if (body.size() > limit || !reserve(body.size())) return null
    }
}

/** Limits on the heads of answers: a faulty server may send thousands of header lines on each connection. */
private val ANSWER_LIMITS = ConnectionLimits(connections = Int.MAX_VALUE, bytes = 8L * 1024 * 1024)

private const val MAX_LINE_BYTES = 4096
private const val MAX_HEADER_BYTES = 32_768
