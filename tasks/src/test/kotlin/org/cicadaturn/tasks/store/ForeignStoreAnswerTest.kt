package org.cicadaturn.tasks.store

import arrow.core.Either
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.cicadaturn.schema.generated.FailureDomainId
import org.cicadaturn.schema.generated.NetworkAddress
import org.cicadaturn.schema.generated.Version
import org.cicadaturn.tasks.gateway.ScriptedEndpoint
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests calls to the object API that get an answer with a good status and another document, or a part of one. */
class ForeignStoreAnswerTest {
    /** @property others documents of the same form that are not the answer */
    private class ObjectCall(
        val name: String,
        val sound: String,
        val others: List<String> = emptyList(),
        val run: suspend (ObjectStore) -> Either<StoreError, Any>,
    )

    private val written = """{"version":5}"""
    private val notWritten =
        listOf(
            """{"version":0}""",
            """{"version":-1}""",
            """{"version":null}""",
            """{"version":4}""",
        )

    private val calls =
        listOf(
            ObjectCall(
                "get",
                """{"key":"a/1","version":3,"value":"v"}""",
                listOf("""{"key":"a/2","version":3,"value":"v"}""", """{"key":"a/1","version":0,"value":"v"}"""),
            ) { it.get("a/1") },
            ObjectCall(
                "list",
                """{"version":5,"objects":[{"key":"a/1","version":3,"value":"v"}]}""",
                listOf(
                    """{"version":5}""",
                    """{"version":2,"objects":[{"key":"a/1","version":3,"value":"v"}]}""",
                    """{"version":5,"objects":[{"key":"b/1","version":3,"value":"v"}]}""",
                ),
            ) { it.list("a/") },
            ObjectCall("create", written, notWritten - """{"version":4}""") { it.put("a/1", "v", null) },
            ObjectCall("replace", written, notWritten) { it.put("a/1", "v", Version(4)) },
            ObjectCall("delete", written, notWritten) { it.delete("a/1", Version(4)) },
            ObjectCall(
                "watch",
                """{"version":5,"events":[{"key":"a/1","version":5,"value":"w"}]}""",
                listOf(
                    """{"version":3,"events":[]}""",
                    """{"version":5,"events":[{"key":"a/1","version":6,"value":"w"}]}""",
                    """{"version":5,"events":[{"key":"b/1","version":5,"value":"w"}]}""",
                ),
            ) { it.watch("a/", Version(4), 10.milliseconds) },
        )

    private val foreignBodies = listOf("", "{}", "[]", "null", "\"ok\"", "7", "<html></html>", """{"status":"ok"}""")

    private fun answerOf(
        body: String,
        status: String = "200 OK",
    ) = "HTTP/1.1 $status\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun unsoundAnswers(call: ObjectCall): List<String> =
        (foreignBodies + call.others).map { answerOf(it) } +
            call.sound.indices.flatMap {
                val cut = call.sound.take(it)
                listOf(
                    "HTTP/1.1 200 OK\r\nContent-Length: ${call.sound.length}\r\n\r\n$cut",
                    "HTTP/1.1 200 OK\r\n\r\n$cut",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${it.toString(16)}\r\n$cut\r\n",
                )
            } +
            listOf("201 Created", "204 No Content", "206 Partial Content", "302 Found").map { answerOf(call.sound, it) }

    private fun isBelieved(
        call: ObjectCall,
        answer: String,
    ): Boolean =
        ScriptedEndpoint { _, output ->
            output.write(answer.encodeToByteArray())
            false
        }.use { endpoint ->
            val address = NetworkAddress("127.0.0.1", endpoint.port)
            httpObjectStore(address, 10.seconds, FailureDomainId("d")).use { store ->
                runBlocking(Dispatchers.IO) { call.run(store) }.isRight()
            }
        }

    /** Guards against an empty list, a write that was not made or an older version that is believed. */
    @TestFactory
    fun `an answer that is not the document of its call is not believed`(): List<DynamicTest> =
        calls.map { call ->
            DynamicTest.dynamicTest(call.name) {
                assertEquals(true, isBelieved(call, answerOf(call.sound)), "the sound answer")
                assertEquals(emptyList<String>(), unsoundAnswers(call).filter { isBelieved(call, it) })
            }
        }
}
