package org.cicadaturn.tasks.store

import arrow.core.right
import org.cicadaturn.schema.generated.StoredObject
import org.cicadaturn.schema.generated.Version
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.io.EOFException
import java.io.IOException
import java.net.BindException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.net.SocketException
import java.net.SocketTimeoutException
import kotlin.reflect.KClass

class StoreAnswersTest {
    private data class AnswerCase(
        val status: Int,
        val body: String?,
        val error: KClass<out StoreError>,
    )

    private val answers =
        listOf(
            AnswerCase(404, """{"code":"NOT_FOUND"}""", StoreError.NotFound::class),
            AnswerCase(404, "<html>not found</html>", StoreError.Rejected::class),
            AnswerCase(404, """{"code":"CONFLICT"}""", StoreError.Rejected::class),
            AnswerCase(404, "", StoreError.Rejected::class),
            AnswerCase(404, null, StoreError.Rejected::class),
            AnswerCase(409, """{"code":"CONFLICT","current":7}""", StoreError.Conflict::class),
            AnswerCase(409, """{"code":"CONFL""", StoreError.Rejected::class),
            AnswerCase(410, """{"code":"COMPACTED","oldest":7}""", StoreError.Compacted::class),
            AnswerCase(410, """{"code":"COMPACTED"}""", StoreError.Rejected::class),
            AnswerCase(413, """{"code":"TOO_LARGE","bytes":9,"limit":8}""", StoreError.TooLarge::class),
            AnswerCase(413, """{"code":"TOO_LARGE"}""", StoreError.Rejected::class),
            AnswerCase(400, """{"code":"INVALID","message":"no key"}""", StoreError.Rejected::class),
            AnswerCase(301, "", StoreError.Rejected::class),
            AnswerCase(429, "", StoreError.Rejected::class),
            AnswerCase(202, """{"key":"a","version":1,"value":"v"}""", StoreError.Unanswered::class),
            AnswerCase(408, "", StoreError.Unanswered::class),
            AnswerCase(500, """{"code":"NOT_FOUND"}""", StoreError.Unanswered::class),
            AnswerCase(503, "", StoreError.Unanswered::class),
            AnswerCase(200, """{"key":"a","version":1,"val""", StoreError.Unanswered::class),
            AnswerCase(200, """{"key":"b","version":1,"value":"v"}""", StoreError.Unanswered::class),
            AnswerCase(200, "", StoreError.Unanswered::class),
            AnswerCase(200, null, StoreError.Rejected::class),
        )

    /** Guards against the wrong kind of failure, above all a false "no such object" or "not reached". */
    @TestFactory
    fun `each answer has one kind of failure`(): List<DynamicTest> =
        answers.map { case ->
            dynamicTest("${case.status} ${case.body}") {
                val result = readAnswer<StoredObject>(RawAnswer(case.status, case.body, 10), "a") { it.key == "a" }
                assertInstanceOf(case.error.java, result.leftOrNull())
            }
        }

    /** Guards against the loss of details that callers base decisions on. */
    @Test
    fun `details of a refusal are kept`() {
        assertEquals(StoreError.Conflict(Version(7)), refusal(409, """{"code":"CONFLICT","current":7}"""))
        assertEquals(StoreError.Conflict(null), refusal(409, """{"code":"CONFLICT"}"""))
        assertEquals(StoreError.Compacted(Version(7)), refusal(410, """{"code":"COMPACTED","oldest":7}"""))
        assertEquals(StoreError.TooLarge(9, 8), refusal(413, """{"code":"TOO_LARGE","bytes":9,"limit":8}"""))
        assertEquals(StoreError.Rejected(400, "no key"), refusal(400, """{"code":"INVALID","message":"no key"}"""))
    }

    /** Guards against a failure to read answers of a newer API version, which have more fields. */
    @Test
    fun `unknown fields are ignored`() {
        val body = """{"key":"a","version":3,"value":"v","owner":"x"}"""
        val expected = StoredObject("a", Version(3), "v").right()
        assertEquals(expected, readAnswer<StoredObject>(RawAnswer(200, body, 10), "a") { true })
    }

    /** Guards against a lost connection that is classified as never established, which would repeat a write. */
    @TestFactory
    fun `only failures to connect prove that the store was not reached`(): List<DynamicTest> {
        val notReached = listOf(ConnectException("refused"), NoRouteToHostException(), BindException())
        val mayBeExecuted =
            listOf(SocketException("reset"), IOException("broken pipe"), EOFException(), SocketTimeoutException())
        return notReached.map {
            dynamicTest("$it") { assertInstanceOf(StoreError.Unavailable::class.java, storeErrorOf(it)) }
        } +
            mayBeExecuted.map {
                dynamicTest(
                    "$it",
                ) { assertInstanceOf(StoreError.Unanswered::class.java, storeErrorOf(it)) }
            }
    }

    private fun refusal(
        status: Int,
        body: String,
    ): StoreError? = readAnswer<StoredObject>(RawAnswer(status, body, 10), "a") { true }.leftOrNull()
}
