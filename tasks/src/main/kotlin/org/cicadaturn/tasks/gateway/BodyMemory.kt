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
 * from a faulty endpoint. Bodies of up to [SMALL_BYTES] need no memory, and those above [LARGE_BYTES] leave a quarter of it
 * to others, so that usual requests are served while a few callers or endpoints send large bodies slowly.
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
    private val largeBlockCount = blockCount - blockCount / RESERVED_PART
    private val largeBlocks = Semaphore(largeBlockCount)

    // One at a time waits for blocks, as two that each hold a part of what they need could wait for each other.
    private val turn = Mutex()

    /** Returns a reservation without memory. The caller closes it when the body is not needed any more. */
    public fun reservation(): Reservation = Reservation()

    /** Memory of one body. Has one owner and is not safe for concurrent use. */
    public inner class Reservation : AutoCloseable {
        private var held = 0
        private var heldAsLarge = 0

        /** Reserves memory for a body of [bytes] in total and returns true, or returns false if there is not enough. */
        public fun tryGrowTo(bytes: Int): Boolean {
            val needed = blocksFor(bytes)
            while (heldAsLarge < needed && needed > LARGE_BLOCKS) {
                if (!largeBlocks.tryAcquire()) return false
                heldAsLarge += 1
            }
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
                    while (heldAsLarge < needed && needed > LARGE_BLOCKS) {
                        largeBlocks.acquire()
                        heldAsLarge += 1
                    }
                    while (held < needed) {
                        blocks.acquire()
                        held += 1
                    }
                }
            }
            return held >= needed
        }

        /** Returns the number of blocks; a body larger than the memory for large ones gets all of that. */
        private fun blocksFor(bytes: Int): Int {
            if (bytes <= SMALL_BYTES) return 0
            return ((bytes + BLOCK_BYTES - 1) / BLOCK_BYTES).coerceAtMost(largeBlockCount)
        }

        override fun close() {
            while (held > 0) {
                blocks.release()
                held -= 1
            }
            while (heldAsLarge > 0) {
                largeBlocks.release()
                heldAsLarge -= 1
            }
        }
    }

    private companion object {
        const val BLOCK_BYTES = 4_096

        /** Bodies of this size count as part of their connections, which have a budget of their own. */
        const val SMALL_BYTES = 4_096

        /** Far above the bodies of usual requests, which have a few kilobytes. */
        const val LARGE_BYTES = 65_536
        const val LARGE_BLOCKS = LARGE_BYTES / BLOCK_BYTES

        /** Part of the memory that large bodies leave to others: one of so many. */
        const val RESERVED_PART = 4
    }
}
