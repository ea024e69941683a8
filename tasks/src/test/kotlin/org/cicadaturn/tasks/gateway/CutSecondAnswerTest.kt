package org.cicadaturn.tasks.gateway

import org.cicadaturn.schema.generated.RequestLine
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.concurrent.CopyOnWriteArrayList

/** Tests what callers get if an endpoint sends the beginning of its answer once more, late. */
internal class CutSecondAnswerTest {
    /** Answer of an endpoint, with the identifier of the request as the first or the last header. */
    class Script(
        val status: String,
        val body: String,
        val header: String = "",
        val identifierFirst: Boolean = false,
    ) {
        val code: Int get() = status.take(3).toInt()

        fun textFor(id: String): String {
            val identifier = "X-Id: $id\r\nX-Signature: s$id\r\n"
            val others = "Server: test\r\n${header}Content-Length: ${body.length}\r\n"
            val headers = if (identifierFirst) identifier + others else others + identifier
            return "HTTP/1.1 $status\r\n$headers\r\n$body"
        }
    }

    /**
     * @property first answer to the first request of a connection, whose beginning is sent again
     * @property second answer to the next request
     * @property step difference between the lengths of the copy that are tried
     */
    class Case(
        private val name: String,
        val route: String,
        val first: Script,
        val second: Script,
        val step: Int = 1,
    ) {
        override fun toString(): String = name
    }

    /** Checks the answer to the second request for each length of the copy; [textFor] returns what the endpoint sends. */
    private fun checkEachLength(
        case: Case,
        textFor: (id: String?, answer: String, copy: String) -> String,
        check: (RawAnswer, description: String) -> Unit,
    ) {
        val first = case.first
        val second = case.second
        for (length in 1..first.textFor("a").length step case.step) {
            val copy = first.textFor("a").take(length)
            ScriptedEndpoint { r, out ->
                val answer = if (r.id == "b") second.textFor("b") else first.textFor("a")
                out.text(textFor(r.id, answer, copy))
            }.use { endpoint ->
                val lines = CopyOnWriteArrayList<String>()
                val journal = { line: RequestLine -> lines += "${line.request} ${line.event}: ${line.detail}" }
                TestGateway(listOf(endpoint), journal = journal).use { gateway ->
                    // The deadline ends the wait of a request that the endpoint refuses.
                    exchange(gateway.port, request("/${case.route}/x", "X-Deadline: 80\r\n", id = "a"))
                    val answer = exchange(gateway.port, request("/${case.route}/x", "X-Deadline: 900\r\n", id = "b"))
                    check(answer, "after $length bytes: ${answer.status} ${answer.body}, not ${second.status}; $lines")
                    val runs = endpoint.requests.count { it.id == "b" }
                    assertTrue(runs <= 1 || isRefusal(second), "sent $runs times after $length bytes")
                }
            }
        }
    }

    /** Guards against a status from one answer with the identifier, signature and body of another. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `an answer behind a cut copy is passed on as it is or not at all`(case: Case) {
        val second = case.second
        val beforeNext = { id: String?, answer: String, copy: String -> if (id == "b") copy + answer else answer }
        checkEachLength(case, beforeNext) { answer, description ->
            val isOwn = answer.status == second.code && answer.body == second.body
            val isUnknown = answer.status in setOf(502, 504) && "X-Signature" !in answer.head
            assertTrue(isOwn || isUnknown || isRefusalOf(second, answer), description)
        }
    }

    /** Guards against a connection that is used again although a part of a second answer has arrived on it. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `a connection on which a cut copy has arrived serves no further request`(case: Case) {
        val second = case.second
        val afterFirst = { id: String?, answer: String, copy: String -> if (id == "a") answer + copy else answer }
        checkEachLength(case, afterFirst) { answer, description ->
            val isOwn = answer.status == second.code && answer.body == second.body
            assertTrue(isOwn || isRefusalOf(second, answer), description)
        }
    }

    private fun isRefusal(script: Script): Boolean = "X-Not-Executed" in script.header

    /** Returns true if [answer] tells truthfully that the endpoint, which gave the answer [second], has not run it. */
    private fun isRefusalOf(
        second: Script,
        answer: RawAnswer,
    ): Boolean = answer.status == 503 && isRefusal(second) && "X-Signature" !in answer.head

    private companion object {
        val done = Script("200 OK", "done")
        val doneWithIdFirst = Script("200 OK", "done", identifierFirst = true)
        val failed = Script("500 Internal Server Error", "failed")
        val refused = Script("503 Full", "full", "X-Not-Executed: 1\r\n")
        val empty = Script("204 No Content", "")

        @JvmStatic
        fun cases(): List<Case> =
            listOf(
                Case("success, then failure", "once", done, failed),
                Case("success with its identifier first, then failure", "once", doneWithIdFirst, failed),
                // Few lengths, as each refused request is held for 0.3 s.
                Case("success, then refusal", "once", done, refused, step = 6),
                Case("refusal, then success", "once", refused, done),
                Case("failure, then success", "safe", failed, done),
                Case("success, then success", "safe", done, doneWithIdFirst),
                Case("success without content, then success", "once", empty, done),
            )
    }
}
