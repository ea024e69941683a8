package org.cicadaturn.daemons.site

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Form of an answer, one of those that the rules allow an endpoint.
 *
 * @property isFramed true if the body has a length or chunks; if not, the end of the connection is its end
 * @property announcesClose true if the answer says that the connection ends after it
 * @property resetAt part of the body, from 0 to 1, behind which the connection is reset; null if it is not
 * @property finDelay time from the last byte to the end of the connection, if that ends
 */
internal data class AnswerShape(
    val version: String = "HTTP/1.1",
    val isFramed: Boolean = true,
    val announcesClose: Boolean = false,
    val resetAt: Double? = null,
    val finDelay: Duration = Duration.ZERO,
) {
    /** True if the connection serves no further request. */
    val endsConnection: Boolean get() = !isFramed || announcesClose || version == OLD_VERSION

    /** True if a body whose length is not known beforehand is sent in chunks, which HTTP/1.0 does not have. */
    val isChunked: Boolean get() = isFramed && version != OLD_VERSION

    /** Headers that follow from the form, beside a length. */
    fun headers(): Map<String, String> = if (announcesClose) mapOf("Connection" to "close") else emptyMap()
}

/** Chooses the form of an answer. */
internal typealias ShapeChoice = () -> AnswerShape

/**
 * Returns a choice by which the share [unframed] of the answers have neither a length nor chunks.
 *
 * A quarter of these are reset within their body. Without such answers, all have the usual form.
 */
internal fun shapeChoice(
    unframed: Double,
    random: Random,
): ShapeChoice =
    {
        if (unframed == 0.0) {
            AnswerShape()
        } else if (random.nextDouble() < unframed) {
            unframedShape(random)
        } else {
            val isOld = random.nextInt(RARELY) == 0
            val announces = random.nextInt(RARELY) == 0
            AnswerShape(if (isOld) OLD_VERSION else NEW_VERSION, true, announces, null, finDelay(random))
        }
    }

private fun unframedShape(random: Random): AnswerShape =
    AnswerShape(
        version = if (random.nextInt(4) == 0) OLD_VERSION else NEW_VERSION,
        isFramed = false,
        announcesClose = random.nextBoolean(),
        resetAt = if (random.nextInt(4) == 0) random.nextDouble() else null,
        finDelay = finDelay(random),
    )

/** Half of the ends come with the last byte. */
private fun finDelay(random: Random): Duration =
    if (random.nextBoolean()) Duration.ZERO else random.nextInt(LONGEST_FIN_DELAY_MILLIS + 1).milliseconds

private const val NEW_VERSION = "HTTP/1.1"
private const val OLD_VERSION = "HTTP/1.0"

/** One answer in so many, of those with a length or chunks, has a rare form. */
private const val RARELY = 50
private const val LONGEST_FIN_DELAY_MILLIS = 100
