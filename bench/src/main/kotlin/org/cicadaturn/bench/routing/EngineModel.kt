package org.cicadaturn.bench.routing

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.admission.AdmissionLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Receives what happens to a job on an engine. */
internal interface JobListener {
    fun token()

    fun done()

    fun failed()
}

/** Is a request on an engine. */
internal class Job(
    val request: BenchRequest,
    val listener: JobListener,
) {
    var promptLeft = request.promptTokens
    var produced = 0
}

/**
 * Models an engine with continuous batching.
 *
 * A step takes a base time, a time for each running job and a time for each prompt token that it processes, up to
 * a number of prompt tokens. It yields one token for each job whose prompt is processed. The engine counts by itself
 * how many requests it bears while it is cold; more than that is recorded as overload.
 */
internal class EngineModel(
    private val time: VirtualTime,
    private val limits: AdmissionLimits,
) {
    private val jobs = ArrayList<Job>()
    private val cache = LinkedHashSet<Long>()
    private var finished = 0L
    private var stalledUntil = time.start
    private var stepping = false

    /** Grows with each restart. */
    var run = 1L
        private set

    var isUp = true
        private set

    /** Largest number of running requests above what the cold engine bears. */
    var coldOverload = 0
        private set

    /** Called with the prefix that the cache took in and the one that it evicted for it, if any. */
    var onCacheChange: (stored: Long, evicted: Long?) -> Unit = { _, _ -> }

    val running: Int get() = jobs.size

    val isStalled: Boolean get() = time.now < stalledUntil

    val isCold: Boolean get() = bears < limits.warmBound

    private val bears: Long get() = minOf(limits.warmBound.toLong(), limits.coldBound + finished / limits.coldStep)

    /** Counts the engine as warm, as at the begin of a run. */
    fun warmUp() {
        finished = limits.warmBound.toLong() * limits.coldStep
    }

    fun start(job: Job) {
        check(isUp) { "the engine is down" }
        if (job.request.prefix in cache) job.promptLeft -= job.request.prefixTokens
        jobs += job
        if (isCold) coldOverload = maxOf(coldOverload, (jobs.size - bears).toInt())
        step()
    }

    fun cancel(job: Job) {
        jobs.remove(job)
    }

    fun stall(duration: Duration) {
        stalledUntil = time.now + duration
    }

    /** Fails all jobs and is cold after [downtime]. */
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

    /** Returns the time to first token that [request] would see if it started now. */
    fun predictFirstToken(request: BenchRequest): Duration {
        val cached = if (request.prefix in cache) request.prefixTokens else 0
        val prompt = jobs.sumOf { it.promptLeft } + request.promptTokens - cached
        val steps = 1 + prompt / STEP_PROMPT_TOKENS
        return (STEP_BASE + STEP_JOB * (jobs.size + 1)) * steps + STEP_PROMPT_TOKEN * prompt
    }

    private fun step() {
        if (stepping || jobs.isEmpty()) return
        stepping = true
        val prompt = minOf(STEP_PROMPT_TOKENS, jobs.sumOf { it.promptLeft })
        val batch = jobs.toList()
        val length = STEP_BASE + STEP_JOB * batch.size + STEP_PROMPT_TOKEN * prompt
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
        stepping = false
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
            val part = minOf(promptLeft, job.promptLeft)
            promptLeft -= part
            job.promptLeft -= part
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
        val evicted = if (cache.size > CACHED_PREFIXES) cache.first() else null
        evicted?.let(cache::remove)
        onCacheChange(prefix, evicted)
    }

    internal companion object {
        val STEP_BASE: Duration = 18.milliseconds
        val STEP_JOB: Duration = 600.microseconds
        val STEP_PROMPT_TOKEN: Duration = 30.microseconds
        const val STEP_PROMPT_TOKENS = 512
        const val CACHED_PREFIXES = 16

        /** Returns the requests for each second that an engine serves with [batch] requests running. */
        fun capacity(batch: Int): Double {
            val prompt = batch * Traffic.MEAN_PROMPT_TOKENS / Traffic.MEAN_OUTPUT_TOKENS
            val step = STEP_BASE + STEP_JOB * batch + STEP_PROMPT_TOKEN * prompt
            return batch / (step * Traffic.MEAN_OUTPUT_TOKENS).toDouble(DurationUnit.SECONDS)
        }
    }
}
