package org.cicadaturn.daemons.site

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns the behaviour of an endpoint that answers with 800 bytes. */
internal fun plainBehaviour(
    random: Random,
    roughness: Roughness,
): EndpointBehaviour {
    val endpoint = PlainEndpoint(random, roughness)
    return EndpointBehaviour(PLAIN_SERVICE, maxConnections = 110, endpoint::load, {
        ReportAnswer(CONFLICT)
    }, endpoint::handle)
}

private class PlainEndpoint(
    private val random: Random,
    private val roughness: Roughness,
) {
    private val slots = Semaphore(SLOTS)
    private val requests = AtomicInteger()

    fun load(): EndpointLoad {
        val running = SLOTS - slots.availablePermits
        return EndpointLoad(running, (requests.get() - running).coerceAtLeast(0), SLOTS)
    }

    suspend fun handle(handling: Handling): Boolean {
        try {
            if (requests.incrementAndGet() > SLOTS + QUEUE) {
                handling.end = RunEnd.REFUSED
                return refuse(handling.out, UNAVAILABLE, handling.headers)
            }
            slots.withPermit { delay(workTime()) }
        } finally {
            requests.decrementAndGet()
        }
        val shape = handling.shape
        val message = messageOf("200 OK", handling.headers, plainBodyOf(handling.request.path), shape)
        if (shape.resetAt != null) {
            handling.out.write(message, 0, message.size - PLAIN_BYTES + (PLAIN_BYTES * shape.resetAt).toInt())
            return handling.reset()
        }
        handling.out.write(message)
        return handling.finish() && random.nextDouble() >= roughness.resets
    }

    // Lognormal with a mean of 21 ms, and one request in a hundred that takes five times as long.
    private fun workTime() =
        minOf(
            (
                19 * exp(0.5 * random.asJavaRandom().nextGaussian()) *
                    if (random.nextInt(100) ==
                        0
                    ) {
                        5
                    } else {
                        1
                    }
            ).milliseconds,
            1.seconds,
        )

    private companion object {
        const val SLOTS = 6
        const val QUEUE = 24
    }
}

/** Returns the body of the answer to a request for [path]. */
internal fun plainBodyOf(path: String): String = path.padEnd(PLAIN_BYTES, '.')

private const val PLAIN_BYTES = 800
