package org.cicadaturn.standins.engine

import org.cicadaturn.schema.generated.ChatMessage
import org.cicadaturn.schema.generated.Digest
import java.security.MessageDigest

/** Characters in a prompt token; four characters per token is the usual estimate for English text. */
private const val PROMPT_TOKEN_CHARS = 4

private const val ANSWER_TOKEN_LETTERS = 4

/** Increment of the SplitMix64 generator, 2^64 divided by the golden ratio. */
private const val SPLIT_MIX_INCREMENT = -0x61c8864680b583ebL

/** Returns the prompt text that the stand-in engine derives from [messages]. */
public fun promptOf(messages: List<ChatMessage>): String = messages.joinToString("") { "${it.role}: ${it.content}\n" }

/** Returns the number of tokens in [prompt]; at least 1. */
public fun promptTokenCount(prompt: String): Int =
    maxOf(1, (prompt.length + PROMPT_TOKEN_CHARS - 1) / PROMPT_TOKEN_CHARS)

/**
 * Returns the digests of the complete blocks of [prompt].
 *
 * Each digest covers all tokens from the start of the prompt to the end of its block. An incomplete block has none.
 */
public fun blockDigests(
    prompt: String,
    blockTokens: Int,
): List<Digest> {
    val hash = MessageDigest.getInstance("SHA-256")
    val blockChars = blockTokens * PROMPT_TOKEN_CHARS
    val blocks = prompt.chunked(blockChars).filter { it.length == blockChars }
    return blocks.map { block ->
        hash.update(block.encodeToByteArray())
        Digest(hexOf((hash.clone() as MessageDigest).digest()))
    }
}

/**
 * Returns the tokens [from] until [until] of the answer to [prompt].
 *
 * A token depends only on the prompt and its position, so that a resumed answer continues exactly where it was
 * interrupted, and a test can check whether an answer belongs to its request.
 */
public fun answerTokens(
    prompt: String,
    from: Int,
    until: Int,
): List<String> {
    val seed = seedOf(prompt)
    return (from until until).map { tokenAt(seed, it) }
}

/** Returns the seed from which [tokenAt] generates the answer to [prompt]. */
internal fun seedOf(prompt: String): Long {
    val digest = MessageDigest.getInstance("SHA-256").digest(prompt.encodeToByteArray())
    return digest.take(Long.SIZE_BYTES).fold(0L) { seed, byte -> (seed shl Byte.SIZE_BITS) or (byte.toLong() and 0xff) }
}

/** Returns the token at [position] of the answer generated from [seed]: four letters and a space. */
internal fun tokenAt(
    seed: Long,
    position: Int,
): String {
    var rest = splitMixOutput(seed + SPLIT_MIX_INCREMENT * (position + 1))
    val letters = CharArray(ANSWER_TOKEN_LETTERS)
    for (i in letters.indices) {
        letters[i] = 'a' + rest.mod(26)
        rest = rest ushr 8
    }
    return letters.concatToString() + " "
}

/** Output function of SplitMix64. */
private fun splitMixOutput(value: Long): Long {
    var z = value
    z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
    z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
    return z xor (z ushr 31)
}

private fun hexOf(bytes: ByteArray): String = bytes.joinToString("") { "%02x".format(it) }
