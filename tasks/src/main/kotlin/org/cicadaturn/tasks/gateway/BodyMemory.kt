package org.cicadaturn.tasks.gateway

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Memory of a process for the bodies of requests and answers on all its connections.
 *
 * A limit for each body alone does not bound the process, as thousands of bodies may arrive at once: after a freeze, or
 * from a faulty endpoint. Bodies of up to [SMALL_BYTES] need no memory, so that usual requests are served while large
 * bodies use all of it up.
 *
 * @param bytes memory for all bodies together
 */
public class BodyMemory(
    bytes: Int,
) {
    private val blockCount = (bytes / BLOCK_BYTES).coerceAtLeast(1)

    // A semaphore and not a task with messages: it holds only a count, and a message for each part of each body would
    // cost more than reading that part.
    private val blocks = Semaphore(blockCount)

    // One at a time waits for blocks, as two that each hold a part of what they need could wait for each other.
    private val turn = Mutex()

    /** Returns a reservation without memory. The caller closes it when the body is not needed any more. */
    public fun reservation(): Reservation = Reservation()

    /** Memory of one body. Has one owner and is not safe for concurrent use. */
    public inner class Reservation : AutoCloseable {
        private var held = 0

        /** Reserves memory for a body of [bytes] in total and returns true, or returns false if there is not enough. */
        public fun tryGrowTo(bytes: Int): Boolean {
            val needed = blocksFor(bytes)
            while (held < needed) {
                if (!blocks.tryAcquire()) return false
                held += 1
            }
            return true
        }

        /** Reserves memory as [tryGrowTo] does, but waits for it for up to [limit]. */
        public suspend fun growTo(
            bytes: Int,
            limit: Duration,
        ): Boolean {
            val needed = blocksFor(bytes)
            if (held >= needed) return true
            if (!turn.isLocked && tryGrowTo(bytes)) return true
            withTimeoutOrNull(limit) {
                turn.withLock {
                    while (held < needed) {
                        blocks.acquire()
                        held += 1
                    }
                }
            }
            return held >= needed
        }

        /** Returns the number of blocks; a body larger than the whole memory gets all of it. */
        private fun blocksFor(bytes: Int): Int {
            if (bytes <= SMALL_BYTES) return 0
            return ((bytes + BLOCK_BYTES - 1) / BLOCK_BYTES).coerceAtMost(blockCount)
        }

        override fun close() {
            while (held > 0) {
                blocks.release()
                held -= 1
            }
        }
    }

    private companion object {
        const val BLOCK_BYTES = 4_096

        /** With 4,000 connections, small bodies take 16 MB at most. */
        const val SMALL_BYTES = 4_096
    }
}
