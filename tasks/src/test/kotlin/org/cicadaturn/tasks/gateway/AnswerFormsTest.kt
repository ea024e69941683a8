package org.cicadaturn.tasks.gateway

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Tests what callers get while endpoints give answers whose head, framing, type, line ends, pieces, numbers and cuts
 * are drawn.
 *
 * The properties `forms.seed` and `forms.requests`, the number of requests of each caller and test, allow other runs.
 * An answer follows from the seed, the identifier of the request and the number of the attempt; `forms.only`, such an
 * identifier, repeats one request.
 */
class AnswerFormsTest {
    private val seed = Integer.getInteger("forms.seed", 1)
    private val requests = Integer.getInteger("forms.requests", 30)
    private val only: String? = System.getProperty("forms.only")
    private val violations = CopyOnWriteArrayList<String>()
    private val outcomes = ConcurrentSkipListMap<String, ConcurrentSkipListMap<String, AtomicInteger>>()

    /** Guards against an answer of another kind, or one that is not declared as a stream, that passes as a stream. */
    @Test
    fun `answers of other types are no streams`() = checkForms("types", TYPE_FORMS)

    /** Guards against a stream that ends as complete before its last event. */
    @Test
    fun `streams that are cut or framed wrongly do not end as complete`() = checkForms("ends", END_FORMS)

    /** Guards against a piece that the caller reads as an event of its own and the gateway as a part of another. */
    @Test
    fun `line ends of any kind separate the same events for the gateway and the caller`() =
        checkForms("lines", LINE_END_FORMS)

    /** Guards against a success without events, or with those of a part of a stream, and a false "not run". */
    @Test
    fun `statuses of any kind are passed on as given`() = checkForms("heads", HEAD_FORMS)

    /** Guards against a piece that no run made, an event that is missing or comes twice, and events of two runs. */
    @Test
    fun `events of a stream are those that are due`() = checkForms("numbers", NUMBER_FORMS)

    /** Guards against a form that passes only together with others. */
    @Test
    fun `streams of all forms together are those of one run`() = checkForms("all", ALL_FORMS)

    /** Guards against a success whose body is not the whole body that an endpoint gave, and a second run. */
    @Test
    fun `bodies of all forms are whole and the endpoint's own`() =
        checkForms("bodies", BODY_FORMS, routes = listOf("safe", "once"))

    /** Guards against events of two answers in one body, and of one that is cut and looks whole. */
    @Test
    fun `bodies of events are those of one answer`() =
        checkForms("event-bodies", EVENT_BODY_FORMS, routes = listOf("safe", "once"))

    /** Guards against a gateway that keeps the rules by refusing streams. */
    @Test
    @Tag("known-red")
    fun `all streams of sound forms come whole`() {
        val notWhole = run("sound", STREAM_ROUTES, deadlineMillis = null) { _, _ -> ALL_SOUND_STREAMS }
        assertEquals(emptyList<String>(), violations.toList())
        assertEquals(emptyList<String>(), notWhole, "${notWhole.size} of ${CALLERS * requests} were not whole")
    }

    /**
     * Guards against streams that are cut although another endpoint can go on.
     *
     * Each request has two attempts. One in ten first attempts is unsound, which the retry budget, a fifth of the
     * requests, allows to be repeated, and each second attempt is sound.
     */
    @Test
    fun `all streams with one unsound attempt come whole where they may be resumed`() {
        val forms = ALL_FORMS.copy(statuses = listOf(200), soundShare = 0.0, closes = true)
        val notWhole =
            run("resumed", listOf("stream"), deadlineMillis = null) { id, attempt ->
                if (attempt == 0 && id.hashCode() % 10 == 0) forms else SOUND_STREAMS
            }
        assertEquals(emptyList<String>(), violations.toList())
        assertEquals(emptyList<String>(), notWhole, "${notWhole.size} of ${CALLERS * requests} were not whole")
    }

    /** Guards against bodies that are refused because of their type or framing, which is not that of a stream. */
    @Test
    fun `all bodies of sound forms come whole`() {
        val notWhole = run("sound-bodies", listOf("safe", "once"), deadlineMillis = null) { _, _ -> SOUND_BODIES }
        assertEquals(emptyList<String>(), violations.toList())
        assertEquals(emptyList<String>(), notWhole, "${notWhole.size} of ${CALLERS * requests} were not whole")
    }

    private fun checkForms(
        family: String,
        forms: FormProfile,
        routes: List<String> = STREAM_ROUTES,
    ) {
        run(family, routes, DEADLINE_MILLIS) { _, _ -> forms }
        assertEquals(emptyList<String>(), violations.toList(), "${violations.size} violations")
        assertTrue(only != null || outcomes.values.any { "whole" in it }, "no request was served")
    }

    /** Sends the requests of all callers and returns those that did not end whole. */
    private fun run(
        family: String,
        routes: List<String>,
        deadlineMillis: Int?,
        profileOf: ProfileChoice,
    ): List<String> {
        val script = FormScript(seed, profileOf)
        val endpoints = List(ENDPOINTS) { ScriptedEndpoint { r, out -> script.answer(r, out) } }
        val notWhole = CopyOnWriteArrayList<String>()
        val answered = AtomicInteger()
        try {
            TestGateway(endpoints).use { gateway ->
                val callers =
                    List(CALLERS) { caller ->
                        thread {
                            for (request in requestsOf(family, caller, routes)) {
                                val answer = exchangeToEnd(gateway.port, request.text(deadlineMillis))
                                val given = script.givenTo(request.id)
                                if (!answer.isSuccess ||
                                    !answer.isComplete
                                ) {
                                    notWhole += describe(request, answer, given)
                                }
                                judge(request, answer, given)
                                answered.incrementAndGet()
                            }
                        }
                    }
                callers.forEach { it.join() }
            }
        } finally {
            endpoints.forEach { it.close() }
        }
        println("answer forms, $family, seed $seed: ${notWhole.size} not whole, ${violations.size} violations")
        outcomes.forEach { (trait, counts) -> println("  $trait: $counts") }
        assertTrue(only != null || answered.get() == CALLERS * requests, "only $answered requests were sent and judged")
        return notWhole
    }

    private fun requestsOf(
        family: String,
        caller: Int,
        routes: List<String>,
    ): List<FormRequest> {
        val random = Random("$seed/$family/$caller".hashCode())
        return List(requests) {
            val route = routes.random(random)
            val after = if (random.nextInt(4) == 0) 1 + random.nextInt(RUN_EVENTS) else 0
            FormRequest(route, "$family-$caller-$it", if (route == "stream") after else 0)
        }.filter { only == null || it.id == only }
    }

    private fun judge(
        request: FormRequest,
        answer: ReceivedAnswer,
        given: List<FormAnswer>,
    ) {
        val violation = violationOf(request, answer, given)
        val outcome =
            when {
                violation == null -> outcomeOf(answer)
                given.size == 1 -> "WRONG"
                else -> "WRONG in ${given.size} attempts"
            }
        for (trait in given.flatMap { it.traits }.toSet().ifEmpty { setOf("sound") }) {
            outcomes
                .getOrPut(trait) { ConcurrentSkipListMap() }
                .getOrPut(outcome) { AtomicInteger() }
                .incrementAndGet()
        }
        if (violation != null) violations += "$violation: ${describe(request, answer, given)}"
    }

    private fun describe(
        request: FormRequest,
        answer: ReceivedAnswer,
        given: List<FormAnswer>,
    ): String {
        val attempts = given.joinToString("") { "\n-- endpoint gave ${"$it".take(MAX_PRINTED)}" }
        return "seed $seed, ${request.id} on /${request.route}/ after ${request.after}" +
            "$attempts\n-- caller got ${"$answer".take(MAX_PRINTED)}\n"
    }

    private companion object {
        const val CALLERS = 12
        const val ENDPOINTS = 5

        /** Ends the wait of requests that endpoints refuse. */
        const val DEADLINE_MILLIS = 500
        const val MAX_PRINTED = 2_000
        val STREAM_ROUTES = listOf("stream", "stream-once")
    }
}
