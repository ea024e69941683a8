package org.cicadaturn.standins.orders

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.DelayOrder
import org.cicadaturn.schema.generated.LoseOrder
import org.cicadaturn.schema.generated.RefuseOrder
import org.cicadaturn.schema.generated.StallOrder
import org.cicadaturn.schema.generated.StandinError
import org.cicadaturn.schema.generated.StandinErrorDetail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val EMPTY_OBJECT = "{}"

/** Answers the calls of all connections; stateless. */
internal class OrderHandler(
    private val settings: OrderServiceSettings,
    private val taskHandle: OrderTaskHandle,
    private val pause: suspend (Duration) -> Unit,
) {
    private val pathPrefix = settings.path + "/"

    /** Returns the answer to [call]; if it is an order, runs it first, with the delays before and after the run. */
    suspend fun handle(call: OrderCall): OrderAnswer {
        call.problem?.let { return it }
        val answer =
            when {
                call.path == settings.path || call.path.startsWith(pathPrefix) -> handleOrderPath(call)
                call.method == "GET" && call.path == "/runs" -> runs()
                call.method == "POST" && call.path.startsWith("/control/") -> control(call)
                else -> errorAnswer(404, "nothing at ${call.path}; orders are at ${settings.path}")
            }
        return if (call.close) OrderAnswer(answer.bytes, close = true) else answer
    }

    private suspend fun handleOrderPath(call: OrderCall): OrderAnswer =
        when (call.method) {
            "POST" -> run(call)
            "GET" -> if (call.path == settings.path) runs() else confirmation(call.path.removePrefix(pathPrefix))
            else -> errorAnswer(405, "${call.method} is not supported; use POST or GET")
        }

    private suspend fun run(call: OrderCall): OrderAnswer {
        pause(taskHandle.ask { OrderMessage.Arrive(it) })
        val result = taskHandle.ask { OrderMessage.Run(call.path, call.key, it) }
        pause(result.delay)
        val answer = jsonAnswer(200, Json.encodeToString(result.confirmation))
        val cutAfter = result.cutAfter ?: return answer
        return OrderAnswer(answer.bytes.copyOf(cutAfter.coerceIn(0, answer.bytes.size - 1)), close = true)
    }

    private suspend fun runs(): OrderAnswer {
        val runs = taskHandle.ask { OrderMessage.ReadRuns(it) }
        return jsonAnswer(200, Json.encodeToString(runs))
    }

    private suspend fun confirmation(number: String): OrderAnswer {
        val found = number.toLongOrNull()?.let { n -> taskHandle.ask { OrderMessage.ReadConfirmation(n, it) } }
        if (found == null) return errorAnswer(404, "no order $number is kept")
        return jsonAnswer(200, Json.encodeToString(found))
    }

    private suspend fun control(call: OrderCall): OrderAnswer =
        try {
            when (call.path.removePrefix("/control/")) {
                "delay" -> delay(Json.decodeFromString(call.body))
                "lose" -> lose(Json.decodeFromString(call.body))
                "refuse" -> refuse(Json.decodeFromString(call.body))
                "stall" -> stall(Json.decodeFromString(call.body))
                else -> errorAnswer(404, "nothing at ${call.path}; use delay, lose, refuse or stall")
            }
        } catch (failure: SerializationException) {
            errorAnswer(400, "body is not valid: ${failure.message}")
        }

    private suspend fun delay(request: DelayOrder): OrderAnswer {
        taskHandle.ask { OrderMessage.Delay(request, it) }
        return jsonAnswer(200, EMPTY_OBJECT)
    }

    private suspend fun lose(request: LoseOrder): OrderAnswer {
        taskHandle.ask { OrderMessage.Lose(request, it) }
        return jsonAnswer(200, EMPTY_OBJECT)
    }

    private suspend fun refuse(request: RefuseOrder): OrderAnswer {
        taskHandle.refuse(request.millis.milliseconds)
        return jsonAnswer(200, EMPTY_OBJECT)
    }

    private suspend fun stall(request: StallOrder): OrderAnswer {
        taskHandle.ask { OrderMessage.Stall(request.millis.milliseconds, it) }
        return jsonAnswer(200, EMPTY_OBJECT)
    }
}

/** Returns an error answer with [message]; it closes the connection if the request body was not read. */
internal fun errorAnswer(
    status: Int,
    message: String,
): OrderAnswer {
    val detail = StandinErrorDetail("status_$status", message)
    return jsonAnswer(status, Json.encodeToString(StandinError(detail)), close = status == 411 || status == 413)
}
