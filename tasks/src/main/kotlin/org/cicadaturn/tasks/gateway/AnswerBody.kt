package org.cicadaturn.tasks.gateway

import org.cicadaturn.tasks.http.StatusLineSearch
import java.io.ByteArrayOutputStream

/**
 * Body of an answer, of which nothing is passed on before it is complete as long as [canBuffer] allows its size.
 *
 * @property isPassedOn true if the parts of the body are passed on as they arrive
 */
internal class AnswerBody(
    isIncremental: Boolean,
    private val canBuffer: (Int) -> Boolean,
) {
    private var kept = ByteArrayOutputStream()
    private val search = StatusLineSearch()
    var isPassedOn = isIncremental
        private set

    /** Adds a part of the body and returns what can be passed on now, or null if it is kept. */
    fun add(bytes: ByteArray): ByteArray? {
        val ready =
            if (isPassedOn) {
                bytes
            } else {
                kept.write(bytes)
                if (canBuffer(kept.size())) return null
                isPassedOn = true
                rest().also { kept = ByteArrayOutputStream(0) }
            }
        search.add(ready)
        return ready
    }

    /** Returns the bytes that were kept. */
    fun rest(): ByteArray = kept.toByteArray()

    /** Returns true if a second answer stands within the body, which is complete. */
    fun hasStatusLine(): Boolean {
        search.add(rest())
        return search.isFound
    }
}
