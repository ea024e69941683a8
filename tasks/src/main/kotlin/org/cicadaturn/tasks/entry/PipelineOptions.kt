package org.cicadaturn.tasks.entry

import kotlin.time.Duration

/**
 * Bounds on the work for one request.
 *
 * @property maxAttempts maximum number of attempts, including the first
 * @property queueWait maximum time to wait while every endpoint is full
 * @property streamStall maximum pause within a streamed answer before the answer is reported as broken
 */
internal data class PipelineOptions(
    val maxAttempts: Int,
    val queueWait: Duration,
    val streamStall: Duration,
)
