package org.cicadaturn.bench.confirmations

import org.cicadaturn.bench.VirtualTime
import org.cicadaturn.decisions.confirmation.AttemptReport
import org.cicadaturn.decisions.confirmation.CallResult
import org.cicadaturn.decisions.confirmation.ClaimProof
import org.cicadaturn.decisions.confirmation.ConfirmationResult
import org.cicadaturn.decisions.confirmation.LedgerPolicy
import org.cicadaturn.decisions.confirmation.callerOutcome
import org.cicadaturn.decisions.confirmation.report
import org.cicadaturn.decisions.confirmation.step
import org.cicadaturn.schema.generated.AttemptId
import org.cicadaturn.schema.generated.ConfirmationKey
import org.cicadaturn.schema.generated.Digest
import org.cicadaturn.schema.generated.Outcome
import org.cicadaturn.schema.generated.RefusalCode
import org.cicadaturn.schema.generated.StoredAnswer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Defects that tests inject into the simulated system, to check that the rules detect them. */
internal data class InjectedDefects(
    val stepFunction: StepFunction = ::step,
    val isStoreConditional: Boolean = true,
    val isUnknownReportedAsNotRun: Boolean = false,
    val outcomeForCaller: (List<AttemptReport>) -> Outcome = ::callerOutcome,
)

/**
 * Random history of callers, entries, 2 or 3 endpoint processes, a store and a back end.
 *
 * Faults occur on each hop until [FAULTS_END]; after that, one last request is sent for each key.
 */
internal class History(
    seed: Long,
    private val defects: InjectedDefects = InjectedDefects(),
    private val trace: ((String) -> Unit)? = null,
) {
    private val random = Random(seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(1_800_000_000))
    private val start = time.now
    private val log = HistoryLog(keys = random.nextInt(2, 5))
    private val store = SimulatedStore(time, random, defects.isStoreConditional, ::recordFault)
    private val endpoints =
        List(random.nextInt(2, 4)) { SimulatedEndpoint(time, store, LedgerPolicy(), defects.stepFunction) }
    private val loss = listOf(0.0, 0.05, 0.2).random(random)
    private var nextAttempt = 0

    fun run(): HistoryLog {
        repeat(random.nextInt(2, 9)) { time.at(start + FAULT_START_PERIOD * random.nextDouble()) { randomFault() } }
        repeat(log.keys) { scheduleRequests(it) }
        time.at(start + FAULTS_END) { store.condition = StoreCondition() }
        time.runUntil(start + END)
        return log
    }

    private fun scheduleRequests(key: Int) {
        val first = start + FIRST_REQUEST_PERIOD * random.nextDouble()
        time.at(first) { sendRequest(key, "body", retriesLeft = 4) }
        if (random.nextDouble() < 0.4) {
            time.at(first + 1.seconds * random.nextDouble()) { sendRequest(key, "body", retriesLeft = 2) }
        }
        if (random.nextDouble() < 0.3) {
            time.at(first + 10.seconds * random.nextDouble()) { sendRequest(key, "other", retriesLeft = 1) }
        }
        time.at(start + LAST_REQUESTS_AT) { sendRequest(key, "body", retriesLeft = 0, isLast = true) }
    }

    private fun areFaultsActive() = time.now < start + FAULTS_END

    private fun chance(share: Double): Boolean = areFaultsActive() && random.nextDouble() < share

    private fun recordFault(kind: String) {
        log.countFault(kind)
        traceEvent { "fault: $kind" }
    }

    private fun traceEvent(text: () -> String) {
        trace?.invoke("${time.now - start} ${text()}")
    }

    private fun randomFault() {
        when (random.nextInt(7)) {
            0, 1 -> killEndpoint()
            2, 3 -> pauseEndpoint()
            4 -> setStoreCondition("store down", StoreCondition(refused = 1.0))
            5 -> setStoreCondition("store silent", StoreCondition(lost = 1.0))
            else -> setStoreCondition("store slow and losing", randomStoreCondition())
        }
    }

    private fun randomStoreCondition() =
        StoreCondition(
            addedLatency = 1200.milliseconds * random.nextDouble(),
            lost = random.nextDouble(0.3),
            unanswered = random.nextDouble(0.5),
        )

    private fun killEndpoint() {
        val endpoint = endpoints.random(random)
        recordFault("process killed")
        endpoint.kill()
        time.after(3.seconds * random.nextDouble()) { endpoint.start() }
    }

    private fun pauseEndpoint() {
        recordFault("process paused")
        endpoints.random(random).pauseUntil(time.now + 15.seconds * random.nextDouble())
    }

    private fun setStoreCondition(
        kind: String,
        condition: StoreCondition,
    ) {
        recordFault(kind)
        store.condition = condition
        time.after(10.seconds * random.nextDouble()) { store.condition = StoreCondition() }
    }

    private fun sendRequest(
        key: Int,
        body: String,
        retriesLeft: Int,
        isLast: Boolean = false,
    ) {
        val deadline = time.now + if (isLast) 10.seconds else random.nextInt(500, 10_000).milliseconds
        val request = CallerRequest(key, body, time.now, deadline, isLast)
        log.requests += request
        traceEvent { "request ${log.requests.size} for key $key, $body" }
        val endpointOrder =
            endpoints.shuffled(random).sortedBy { if (random.nextDouble() < 0.7) endpoints.indexOf(it) else 0 }
        val exchange = Exchange(request, retriesLeft, endpointOrder)
        // An entry stops waiting shortly after the deadline.
        time.at(deadline + 500.milliseconds) { reportToCaller(exchange, Outcome.UNKNOWN, null) }
        when {
            chance(loss) -> recordFault("caller's request lost")
            chance(0.03) -> reportToCaller(exchange, defects.outcomeForCaller(emptyList()), null)
            else -> attempt(exchange)
        }
    }

    private class Exchange(
        val request: CallerRequest,
        val retriesLeft: Int,
        val endpointOrder: List<SimulatedEndpoint>,
    ) {
        val results = mutableListOf<ConfirmationResult>()
        var attempts = 0
    }

    private fun attempt(exchange: Exchange) {
        val request = exchange.request
        val endpoint = exchange.endpointOrder[exchange.attempts++ % exchange.endpointOrder.size]
        val attempt = HistoryAttempt(AttemptId("a${nextAttempt++}"), request.key, request.body)
        request.attempts += attempt
        traceEvent { "attempt ${attempt.id} for key ${request.key} at endpoint ${endpoints.indexOf(endpoint)}" }
        when {
            chance(loss) -> {
                recordFault("open frame lost")
                time.after(HOP) { received(exchange, lostConnection) }
            }

            !endpoint.isUp -> {
                received(exchange, noConnection)
            }

            else -> {
                val timeLeft = request.deadline - time.now
                time.after(HOP) { endpoint.request(endpointRequest(exchange, attempt, timeLeft)) }
            }
        }
    }

    private fun endpointRequest(
        exchange: Exchange,
        attempt: HistoryAttempt,
        timeLeft: Duration,
    ): EndpointRequest {
        val deadline = time.now + timeLeft
        attempt.arrivedAt = time.now
        attempt.deadline = deadline
        return EndpointRequest(
            shard = attempt.key % 2,
            key = ConfirmationKey(Digest("key ${attempt.key}"), Digest(attempt.body)),
            deadline = deadline,
            attempt = attempt.id,
            call = { _, ended -> call(attempt, ended) },
            reply = { replied(exchange, attempt, it) },
        )
    }

    private fun call(
        attempt: HistoryAttempt,
        ended: (CallResult) -> Unit,
    ) {
        if (chance(0.1)) {
            recordFault("back end not reached")
            time.after(HOP) { ended(unreachable) }
            return
        }
        time.after(HOP * random.nextDouble()) {
            log.runs += HistoryRun(attempt, time.now)
            traceEvent { "run ${log.runs.size} by ${attempt.id} of key ${attempt.key}" }
            val answer = StoredAnswer(200, body = "run ${log.runs.size} of key ${attempt.key}, ${attempt.body}")
            val isLost = chance(0.1)
            if (isLost) recordFault("back end's answer lost")
            val lostResult =
                if (defects.isUnknownReportedAsNotRun) unreachable else CallResult.Unknown("connection lost")
            val maxDuration = if (random.nextDouble() < 0.1) 4.seconds else 60.milliseconds
            val duration = maxDuration * random.nextDouble()
            time.after(duration) { ended(if (isLost) lostResult else CallResult.Answered(answer)) }
        }
    }

    private fun replied(
        exchange: Exchange,
        attempt: HistoryAttempt,
        result: ConfirmationResult,
    ) {
        attempt.result = result
        attempt.resultAt = time.now
        traceEvent { "${attempt.id} ends with $result" }
        val receivedResult = if (chance(loss)) lostConnection.also { recordFault("endpoint's answer lost") } else result
        time.after(HOP) { received(exchange, receivedResult) }
    }

    private fun received(
        exchange: Exchange,
        result: ConfirmationResult,
    ) {
        if (exchange.request.outcome != null) return
        exchange.results += result
        val isRetried =
            result is ConfirmationResult.Refused && result.code != RefusalCode.KEY_REUSED &&
                exchange.attempts < MAX_ATTEMPTS && time.now < exchange.request.deadline
        if (isRetried) return attempt(exchange)
        val outcome = defects.outcomeForCaller(exchange.results.map { it.report() })
        reportToCaller(exchange, outcome, (result as? ConfirmationResult.Answered)?.answer?.body)
    }

    private fun reportToCaller(
        exchange: Exchange,
        outcome: Outcome,
        answer: String?,
    ) {
        val request = exchange.request
        if (request.outcome != null) return
        val isLost = chance(loss)
        if (isLost) recordFault("answer to the caller lost")
        request.outcome = if (isLost) Outcome.UNKNOWN else outcome
        request.outcomeAt = time.now
        request.answer = if (isLost) null else answer
        traceEvent { "key ${request.key}, ${request.body}: told ${request.outcome} $answer" }
        val retryShare =
            when (request.outcome) {
                Outcome.UNKNOWN -> 0.9
                Outcome.NOT_RUN -> 0.6
                else -> 0.2
            }
        if (exchange.retriesLeft > 0 && random.nextDouble() < retryShare) {
            time.after(5.seconds * random.nextDouble()) {
                sendRequest(request.key, request.body, exchange.retriesLeft - 1)
            }
        }
    }

    private companion object {
        val HOP = 1.milliseconds
        val FIRST_REQUEST_PERIOD = 15.seconds
        val FAULT_START_PERIOD = 25.seconds

        /** Time after which no fault occurs; the last late write and the last pause end before [LAST_REQUESTS_AT]. */
        val FAULTS_END = 30.seconds
        val LAST_REQUESTS_AT = 60.seconds
        val END = 90.seconds
        const val MAX_ATTEMPTS = 3

        val unreachable = CallResult.NotRun(RefusalCode.UNREACHABLE, "no connection")
        val lostConnection = ConfirmationResult.Unknown("connection lost")
        val noConnection =
            ConfirmationResult.Refused(
                RefusalCode.UNREACHABLE,
                "the endpoint process is not connected",
                ClaimProof.NOT_READ,
            )
    }
}
