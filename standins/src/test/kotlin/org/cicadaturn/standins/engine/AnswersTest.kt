package org.cicadaturn.standins.engine

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Tests the prompts, block digests and answers of the stand-in engine. */
class AnswersTest {
    /** Guards against a resumed answer that differs from the same part of the whole answer. */
    @Test
    fun `tokens depend only on prompt and position`() {
        val whole = answerTokens("user: hello\n", 0, 50)
        (0..50).forEach { assertEquals(whole.drop(it), answerTokens("user: hello\n", it, 50)) }
        assertNotEquals(whole, answerTokens("user: hullo\n", 0, 50))
        assertEquals(50, whole.toSet().size)
    }

    /** Guards against equal block digests of prompts that differ in an earlier block. */
    @Test
    fun `block digest covers all preceding blocks`() {
        val block = "x".repeat(64)
        val digests = blockDigests(block + block + "rest", blockTokens = 16)
        assertEquals(2, digests.size)
        assertEquals(digests.take(1), blockDigests(block + "y".repeat(64), blockTokens = 16).take(1))
        assertNotEquals(digests[1], blockDigests("y".repeat(64) + block, blockTokens = 16)[1])
    }
}
