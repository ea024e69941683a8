package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.admission.AdmissionLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Receives the events of a job on an engine. */
internal interface JobListener {
    fun token()

    fun done()

    fun failed()
}

/** Request on an engine. */
internal class Job(
    val request: BenchRequest,
    val listener: JobListener,
) {
    var promptLeft = request.promptTokens
    var produced = 0
}

/**
 * Model of an engine with continuous batching.
 *
 * The time of a step is the sum of a base time, a time for each running job and a time for each prompt token that the
 * step processes; the number of prompt tokens in a step is limited. A step generates one token for each job whose
 * prompt is processed. The engine calculates its own capacity while it is cold and records requests above it as
 * overload.
 */
internal class EngineModel(
    private val time: VirtualTime,
    private val limits: AdmissionLimits,
) {
    private val jobs = ArrayList<Job>()
    private val cache = LinkedHashSet<Long>()
    private var finished = 0L
    private var stalledUntil = time.start
    private var isStepRunning = false

    /** Number of the current run of the engine, incremented by each restart. */
    var run = 1L
        private set

    var isUp = true
        private set

    /** Largest number of running requests above the capacity of the cold engine. */
    var coldOverload = 0
        private set

    /** Called with a prefix that was added to the cache and the prefix that was evicted for it, if any. */
    var onCacheChange: (stored: Long, evicted: Long?) -> Unit = { _, _ -> }

    val running: Int get() = jobs.size

    val isStalled: Boolean get() = time.now < stalledUntil

    val isCold: Boolean get() = capacity < limits.warmBound

    private val capacity: Long get() = minOf(limits.warmBound.toLong(), limits.coldBound + finished / limits.coldStep)

    /** Makes the engine warm, as at the start of a run. */
    fun warmUp() {
        finished = limits.warmBound.toLong() * limits.coldStep
    }

    fun start(job: Job) {
        check(isUp) { "the engine is down" }
        if (job.request.prefix in cache) job.promptLeft -= job.request.prefixTokens
        jobs += job
        if (isCold) coldOverload = maxOf(coldOverload, (jobs.size - capacity).toInt())
        step()
    }

    fun cancel(job: Job) {
        jobs.remove(job)
    }

    fun stall(duration: Duration) {
        stalledUntil = time.now + duration
    }

    /** Fails all jobs; the engine is up again and cold after [downtime]. */
    fun restart(downtime: Duration) {
        val failed = jobs.toList()
        jobs.clear()
        cache.clear()
        finished = 0
        run += 1
        isUp = false
        failed.forEach { it.listener.failed() }
        time.after(downtime) { isUp = true }
    }

    /** Returns the predicted time to the first token of [request] if it started now. */
    fun predictFirstToken(request: BenchRequest): Duration {
        val cached = if (request.prefix in cache) request.prefixTokens else 0
        val prompt = jobs.sumOf { it.promptLeft } + request.promptTokens - cached
        val steps = 1 + prompt / MAX_PROMPT_TOKENS_PER_STEP
        return (STEP_BASE_TIME + STEP_TIME_PER_JOB * (jobs.size + 1)) * steps + STEP_TIME_PER_PROMPT_TOKEN * prompt
    }

    private fun step() {
        if (isStepRunning || jobs.isEmpty()) return
        isStepRunning = true
        val prompt = minOf(MAX_PROMPT_TOKENS_PER_STEP, jobs.sumOf { it.promptLeft })
        val batch = jobs.toList()
        val length = STEP_BASE_TIME + STEP_TIME_PER_JOB * batch.size + STEP_TIME_PER_PROMPT_TOKEN * prompt
        time.after(length) { endStep(batch, prompt, run) }
    }

    private fun endStep(
        batch: List<Job>,
        prompt: Int,
        startedRun: Long,
    ) {
        if (isStalled) {
            time.at(stalledUntil) { endStep(batch, prompt, startedRun) }
            return
        }
        isStepRunning = false
        if (startedRun == run) advance(batch, prompt)
        step()
    }

    private fun advance(
        batch: List<Job>,
        prompt: Int,
    ) {
        var promptLeft = prompt
        for (job in batch) {
            if (job !in jobs) continue
            val processed = minOf(promptLeft, job.promptLeft)
            promptLeft -= processed
            job.promptLeft -= processed
            if (job.promptLeft > 0) continue
            if (job.produced == 0) job.request.prefix?.let(::store)
            job.produced += 1
            job.listener.token()
            if (job.produced < job.request.outputTokens) continue
            jobs.remove(job)
            finished += 1
            job.listener.done()
        }
    }

    private fun store(prefix: Long) {
        val isNew = !cache.remove(prefix)
        cache.add(prefix)
        if (!isNew) return
        val evicted = if (cache.size > MAX_CACHED_PREFIXES) cache.first() else null
        evicted?.let(cache::remove)
        onCacheChange(prefix, evicted)
    }

    internal companion object {
        val STEP_BASE_TIME: Duration = 18.milliseconds
        val STEP_TIME_PER_JOB: Duration = 600.microseconds
        val STEP_TIME_PER_PROMPT_TOKEN: Duration = 30.microseconds
        const val MAX_PROMPT_TOKENS_PER_STEP = 512
        const val MAX_CACHED_PREFIXES = 16

        /** Returns the requests per second that an engine serves with [batch] running requests. */
        fun throughput(batch: Int): Double {
            val prompt = batch * Traffic.MEAN_PROMPT_TOKENS / Traffic.MEAN_OUTPUT_TOKENS
            val step = STEP_BASE_TIME + STEP_TIME_PER_JOB * batch + STEP_TIME_PER_PROMPT_TOKEN * prompt
            return batch / (step * Traffic.MEAN_OUTPUT_TOKENS).toDouble(DurationUnit.SECONDS)
        }
    }
}
