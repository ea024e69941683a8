package org.cicadaturn.decisions.admission

import org.cicadaturn.decisions.admission.AdmissionDecision.Admit
import org.cicadaturn.decisions.admission.AdmissionDecision.Queue
import org.cicadaturn.decisions.admission.AdmissionDecision.Refuse
import org.cicadaturn.schema.generated.EngineState
import org.cicadaturn.schema.generated.RefusalCode
import kotlin.time.Duration
import kotlin.time.Instant

internal class QueueingGate(
    private val limits: AdmissionLimits,
) : AdmissionGate {
    private class Running(
        val tokens: Long,
        val epoch: Long,
        val since: Instant,
    )

    private val warmUp = WarmUp(limits)
    private val estimate = RunEstimate()
    private val queue = WaitingQueue()
    private val running = HashMap<Ticket, Running>()
    private var tokens = 0L
    private var sequence = 0L
    private var closed: RefusalCode? = null

    override fun state(): GateState =
        GateState(
            engine = if (warmUp.isWarm) EngineState.WARM else EngineState.COLD,
            bound = warmUp.bound,
            running = running.size,
            queued = queue.size,
            tokens = tokens,
            finished = warmUp.finished,
        )

    override fun arrive(
        request: AdmissionRequest,
        now: Instant,
    ): ArrivalResult {
        require(request.ticket !in running && request.ticket !in queue) { "ticket ${request.ticket} is in use" }
        val decisions = advance(now).decisions.toMutableList()
        val decision = decide(request, now, decisions)
        return ArrivalResult(decision, GateChange(decisions))
    }

    override fun finish(
        ticket: Ticket,
        ending: Ending,
        now: Instant,
    ): GateChange {
        queue.remove(ticket)?.let { tokens -= it.request.tokens }
        running.remove(ticket)?.let { release(it, ending, now) }
        return advance(now)
    }

    private fun release(
        ended: Running,
        ending: Ending,
        now: Instant,
    ) {
        tokens -= ended.tokens
        when (ending) {
            Ending.FINISHED -> {
                warmUp.finished(ended.epoch)
                estimate.finished(now - ended.since, ended.tokens)
            }

            Ending.FAILED -> {
                warmUp.failed(ended.epoch, now)
            }

            Ending.CANCELLED -> {}
        }
    }

    override fun applyEngineReport(
        run: Long,
        cold: Boolean,
        now: Instant,
    ): GateChange {
        warmUp.report(run, cold)
        return advance(now)
    }

    override fun markCold(now: Instant): GateChange {
        warmUp.restart()
        return advance(now)
    }

    override fun close(
        code: RefusalCode,
        now: Instant,
    ): GateChange {
        closed = code
        return GateChange(queue.inOrder().map { dequeue(it, code, "the endpoint takes no new work") })
    }

    override fun reopen() {
        closed = null
    }

    override fun advance(now: Instant): GateChange {
        val decisions = mutableListOf<AdmissionDecision>()
        while (true) {
            val expired = queue.firstToExpire()?.takeIf { it.expiresAt <= now } ?: break
            decisions += dequeue(expired, expiryCode(expired), "no place became free in time")
        }
        while (running.size < warmUp.bound) {
            val next = queue.first() ?: break
            queue.remove(next.request.ticket)
            tokens -= next.request.tokens
            decisions += admit(next.request, now)
        }
        return GateChange(decisions)
    }

    override fun nextExpiry(): Instant? = queue.firstToExpire()?.expiresAt

    private fun decide(
        request: AdmissionRequest,
        now: Instant,
        others: MutableList<AdmissionDecision>,
    ): AdmissionDecision {
        closed?.let { return Refuse(request.ticket, it, "the endpoint takes no new work", null) }
        if (request.deadline <= now) return Refuse(request.ticket, RefusalCode.DEADLINE, "the deadline passed", null)
        // If a place is free, the run time estimate is not checked: an estimate that is too long, as after a stall,
        // would otherwise cause all requests to be refused and would never be corrected.
        if (running.size < warmUp.bound) return admit(request, now)
        val latestStart = request.deadline - estimate.shortestRun(request.tokens)
        val waiting = Waiting(request, sequence++, minOf(now + limits.queueWait, latestStart))
        val wait = estimate.wait(queue.ahead(waiting) + 1, running.size)
        if (waiting.expiresAt <= now || now + wait > waiting.expiresAt) {
            return Refuse(request.ticket, expiryCode(waiting), "$wait of waiting is expected", retryAfter(wait))
        }
        return enqueue(waiting, now, others)
    }

    private fun enqueue(
        waiting: Waiting,
        now: Instant,
        others: MutableList<AdmissionDecision>,
    ): AdmissionDecision {
        val request = waiting.request
        queue.add(waiting)
        tokens += request.tokens
        if (queue.last() != waiting) others += shedLateRequests(now)
        if (queue.size > limits.queueLength) {
            val last = checkNotNull(queue.last())
            val refusal = dequeue(last, RefusalCode.OVERLOADED, "${limits.queueLength} requests wait already")
            if (last == waiting) return refusal
            others += refusal
        }
        return Queue(request.ticket, waiting.expiresAt)
    }

    /** Refuses waiting requests that a request of higher precedence has delayed past their expiry. */
    private fun shedLateRequests(now: Instant): List<AdmissionDecision> {
        val refused = mutableListOf<AdmissionDecision>()
        var ahead = 0
        for (waiting in queue.inOrder()) {
            val wait = estimate.wait(ahead + 1, running.size)
            if (now + wait > waiting.expiresAt) {
                refused += dequeue(waiting, expiryCode(waiting), "requests of higher precedence came", retryAfter(wait))
            } else {
                ahead += 1
            }
        }
        return refused
    }

    private fun admit(
        request: AdmissionRequest,
        now: Instant,
    ): Admit {
        running[request.ticket] = Running(request.tokens, warmUp.epoch, now)
        tokens += request.tokens
        return Admit(request.ticket)
    }

    private fun dequeue(
        waiting: Waiting,
        code: RefusalCode,
        message: String,
        retryAfter: Duration? = retryAfter(Duration.ZERO),
    ): Refuse {
        queue.remove(waiting.request.ticket)
        tokens -= waiting.request.tokens
        return Refuse(waiting.request.ticket, code, message, retryAfter)
    }

    /** Returns DEADLINE if the expiry results from the deadline of the request, otherwise OVERLOADED. */
    private fun expiryCode(waiting: Waiting): RefusalCode {
        val latestStart = waiting.request.deadline - estimate.shortestRun(waiting.request.tokens)
        return if (latestStart <= waiting.expiresAt) RefusalCode.DEADLINE else RefusalCode.OVERLOADED
    }

    private fun retryAfter(wait: Duration): Duration = maxOf(wait, limits.queueWait)
}
