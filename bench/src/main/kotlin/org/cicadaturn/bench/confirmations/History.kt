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

/** Faults that tests plant into the simulated system. */
internal data class PlantedFaults(
    val stepper: Stepper = ::step,
    val isStoreConditional: Boolean = true,
    val isUnknownReportedAsNotRun: Boolean = false,
    val told: (List<AttemptReport>) -> Outcome = ::callerOutcome,
)

/**
 * Runs one random history: callers, entries, 2 or 3 endpoint processes, a store and a back end, with faults on each
 * hop until [HEALED], and a last request for each key after that.
 */
internal class History(
    seed: Long,
    private val planted: PlantedFaults = PlantedFaults(),
    private val trace: ((String) -> Unit)? = null,
) {
    private val random = Random(seed)
    private val time = VirtualTime(Instant.fromEpochSeconds(1_800_000_000))
    private val start = time.now
    private val log = HistoryLog(keys = random.nextInt(2, 5))
    private val store = SimulatedStore(time, random, planted.isStoreConditional, ::fault)
    private val endpoints =
        List(random.nextInt(2, 4)) { SimulatedEndpoint(time, store, LedgerPolicy(), planted.stepper) }
    private val loss = listOf(0.0, 0.05, 0.2).random(random)
    private var nextAttempt = 0

    fun run(): HistoryLog {
        repeat(random.nextInt(2, 9)) { time.at(start + FAULTS * random.nextDouble()) { randomFault() } }
        repeat(log.keys) { planKey(it) }
        time.at(start + HEALED) { store.condition = StoreCondition() }
        time.runUntil(start + END)
        return log
    }

    private fun planKey(key: Int) {
        val first = start + FIRST_REQUESTS * random.nextDouble()
        time.at(first) { send(key, "body", tries = 4) }
        if (random.nextDouble() < 0.4) time.at(first + 1.seconds * random.nextDouble()) { send(key, "body", tries = 2) }
        if (random.nextDouble() <
            0.3
        ) {
            time.at(first + 10.seconds * random.nextDouble()) { send(key, "other", tries = 1) }
        }
        time.at(start + LAST_REQUESTS) { send(key, "body", tries = 0, isLast = true) }
    }

    private fun isFaulty() = time.now < start + HEALED

    private fun chance(share: Double): Boolean = isFaulty() && random.nextDouble() < share

    private fun fault(kind: String) {
        log.fault(kind)
        traced { "fault: $kind" }
    }

    private fun traced(text: () -> String) {
        trace?.invoke("${time.now - start} ${text()}")
    }

    private fun randomFault() {
        when (random.nextInt(7)) {
            0, 1 -> killOne()
            2, 3 -> pauseOne()
            4 -> storeFor("store down", StoreCondition(refused = 1.0))
            5 -> storeFor("store silent", StoreCondition(lost = 1.0))
            else -> storeFor("store slow and losing", randomCondition())
        }
    }

    private fun randomCondition() =
        StoreCondition(
            slowness = 1200.milliseconds * random.nextDouble(),
            lost = random.nextDouble(0.3),
            unanswered = random.nextDouble(0.5),
        )

    private fun killOne() {
        val endpoint = endpoints.random(random)
        fault("process killed")
        endpoint.kill()
        time.after(3.seconds * random.nextDouble()) { endpoint.start() }
    }

    private fun pauseOne() {
        fault("process paused")
        endpoints.random(random).pauseUntil(time.now + 15.seconds * random.nextDouble())
    }

    private fun storeFor(
        kind: String,
        condition: StoreCondition,
    ) {
        fault(kind)
        store.condition = condition
        time.after(10.seconds * random.nextDouble()) { store.condition = StoreCondition() }
    }

    private fun send(
        key: Int,
        body: String,
        tries: Int,
        isLast: Boolean = false,
    ) {
        val deadline = time.now + if (isLast) 10.seconds else random.nextInt(500, 10_000).milliseconds
        val request = CallerRequest(key, body, time.now, deadline, isLast)
        log.requests += request
        traced { "request ${log.requests.size} for key $key, $body" }
        val order = endpoints.shuffled(random).sortedBy { if (random.nextDouble() < 0.7) endpoints.indexOf(it) else 0 }
        val exchange = Exchange(request, tries, order)
        // An entry gives up shortly after the deadline.
        time.at(deadline + 500.milliseconds) { tell(exchange, Outcome.UNKNOWN, null) }
        when {
            chance(loss) -> fault("caller's request lost")
            chance(0.03) -> tell(exchange, planted.told(emptyList()), null)
            else -> attempt(exchange)
        }
    }

    private class Exchange(
        val request: CallerRequest,
        val tries: Int,
        val order: List<SimulatedEndpoint>,
    ) {
        val results = mutableListOf<ConfirmationResult>()
        var attempts = 0
    }

    private fun attempt(exchange: Exchange) {
        val request = exchange.request
        val endpoint = exchange.order[exchange.attempts++ % exchange.order.size]
        val attempt = HistoryAttempt(AttemptId("a${nextAttempt++}"), request.key, request.body)
        request.attempts += attempt
        traced { "attempt ${attempt.id} for key ${request.key} at endpoint ${endpoints.indexOf(endpoint)}" }
        when {
            chance(loss) -> {
                fault("open frame lost")
                time.after(HOP) { received(exchange, lostConnection) }
            }

            !endpoint.isUp -> {
                received(exchange, noConnection)
            }

            else -> {
                val timeLeft = request.deadline - time.now
                time.after(HOP) { endpoint.request(arrival(exchange, attempt, timeLeft)) }
            }
        }
    }

    private fun arrival(
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
            fault("back end not reached")
            time.after(HOP) { ended(unreachable) }
            return
        }
        time.after(HOP * random.nextDouble()) {
            log.runs += HistoryRun(attempt, time.now)
            traced { "run ${log.runs.size} by ${attempt.id} of key ${attempt.key}" }
            val answer = StoredAnswer(200, body = "run ${log.runs.size} of key ${attempt.key}, ${attempt.body}")
            val isLost = chance(0.1)
            if (isLost) fault("back end's answer lost")
            val lost = if (planted.isUnknownReportedAsNotRun) unreachable else CallResult.Unknown("connection lost")
            val took =
                if (random.nextDouble() <
                    0.1
                ) {
                    4.seconds * random.nextDouble()
                } else {
                    60.milliseconds * random.nextDouble()
                }
            time.after(took) { ended(if (isLost) lost else CallResult.Answered(answer)) }
        }
    }

    private fun replied(
        exchange: Exchange,
        attempt: HistoryAttempt,
        result: ConfirmationResult,
    ) {
        attempt.result = result
        attempt.resultAt = time.now
        traced { "${attempt.id} ends with $result" }
        val seen = if (chance(loss)) lostConnection.also { fault("endpoint's answer lost") } else result
        time.after(HOP) { received(exchange, seen) }
    }

    private fun received(
        exchange: Exchange,
        result: ConfirmationResult,
    ) {
        if (exchange.request.told != null) return
        exchange.results += result
        val isRetried =
            result is ConfirmationResult.Refused && result.code != RefusalCode.KEY_REUSED &&
                exchange.attempts < MOST_ATTEMPTS && time.now < exchange.request.deadline
        if (isRetried) return attempt(exchange)
        val told = planted.told(exchange.results.map { it.report() })
        tell(exchange, told, (result as? ConfirmationResult.Answered)?.answer?.body)
    }

    private fun tell(
        exchange: Exchange,
        outcome: Outcome,
        answer: String?,
    ) {
        val request = exchange.request
        if (request.told != null) return
        val isLost = chance(loss)
        if (isLost) fault("answer to the caller lost")
        request.told = if (isLost) Outcome.UNKNOWN else outcome
        request.toldAt = time.now
        request.answer = if (isLost) null else answer
        traced { "key ${request.key}, ${request.body}: told ${request.told} $answer" }
        val again =
            when (request.told) {
                Outcome.UNKNOWN -> 0.9
                Outcome.NOT_RUN -> 0.6
                else -> 0.2
            }
        if (exchange.tries > 0 && random.nextDouble() < again) {
            time.after(5.seconds * random.nextDouble()) { send(request.key, request.body, exchange.tries - 1) }
        }
    }

    private companion object {
        val HOP = 1.milliseconds
        val FIRST_REQUESTS = 15.seconds
        val FAULTS = 25.seconds

        /** No fault happens after this; the last late write and the last pause end before [LAST_REQUESTS]. */
        val HEALED = 30.seconds
        val LAST_REQUESTS = 60.seconds
        val END = 90.seconds
        const val MOST_ATTEMPTS = 3

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
