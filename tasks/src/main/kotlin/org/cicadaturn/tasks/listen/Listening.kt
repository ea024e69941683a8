package org.cicadaturn.tasks.listen

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.cicadaturn.decisions.retry.Backoff
import org.cicadaturn.decisions.retry.exponentialBackoff
import org.cicadaturn.schema.generated.NetworkAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Listening socket. */
public interface Listener {
    /** Address of the socket, with the port that the system chose if port 0 was requested. */
    public val address: NetworkAddress

    /** Stops accepting connections. */
    public suspend fun close()
}

/**
 * Times of the attempts to listen.
 *
 * @property backoff pauses between the attempts. The longest one is short, as callers get no service after the port has
 * become free until the next attempt.
 * @property time time that spaces the log lines
 * @property pause suspends for a duration
 */
public class ListenRetry(
    public val backoff: Backoff = exponentialBackoff(10.milliseconds, 250.milliseconds),
    public val time: TimeSource = TimeSource.Monotonic,
    public val pause: suspend (Duration) -> Unit = ::delay,
)

/**
 * Calls [bind] for [address] until it succeeds or fails for a reason that does not pass, and returns its result.
 *
 * The first failure is logged, then one each ten seconds, and the success after failures.
 */
public suspend fun <T> retryListen(
    address: NetworkAddress,
    retry: ListenRetry = ListenRetry(),
    bind: suspend () -> T,
): Either<ListenError, T> {
    var failures = 0
    var lastLine = retry.time.markNow()
    while (true) {
        val error = tryListen(bind).fold({ it }, { return it.right().also { reportSuccess(address, failures) } })
        if (!error.isTransient) return error.left()
        failures += 1
        if (failures == 1 || lastLine.elapsedNow() >= LINE_INTERVAL) {
            logger.warn("listen: {}:{} is tried again: {}", address.ip, address.port, error.message)
            lastLine = retry.time.markNow()
        }
        retry.pause(retry.backoff.delayBefore(failures))
    }
}

/**
 * Calls [bind] for [address] as [retryListen] does and returns its result.
 *
 * @throws ListenFailedException if [bind] fails for a reason that does not pass
 */
public suspend fun <T> listenOrThrow(
    address: NetworkAddress,
    retry: ListenRetry = ListenRetry(),
    bind: suspend () -> T,
): T = retryListen(address, retry, bind).getOrElse { throw ListenFailedException(address, it) }

private fun reportSuccess(
    address: NetworkAddress,
    failures: Int,
) {
    if (failures > 0) logger.info("listen: {}:{} is open after {} failed attempts", address.ip, address.port, failures)
}

private suspend fun <T> tryListen(bind: suspend () -> T): Either<ListenError, T> =
    try {
        bind().right()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        (listenErrorOf(e) ?: throw e).left()
    }

private val LINE_INTERVAL = 10.seconds
private val logger = LogManager.getLogger("org.cicadaturn.tasks.listen.Listening")
