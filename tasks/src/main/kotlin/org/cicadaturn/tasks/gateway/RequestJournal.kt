package org.cicadaturn.tasks.gateway

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.cicadaturn.decisions.gateway.AnswerSummary
import org.cicadaturn.decisions.gateway.RequestTimes
import org.cicadaturn.decisions.gateway.StopTimes
import org.cicadaturn.schema.generated.PromptSegmentId
import org.cicadaturn.schema.generated.RequestLine
import kotlin.time.Instant

/** Receives a line for each decision about a request. */
public typealias RequestJournal = (RequestLine) -> Unit

/** Returns a journal that writes the fields of each line to the log. */
internal fun requestJournal(): RequestJournal = { line -> logger.log(levelOf(line), messageOf(line)) }

/**
 * Returns the level of [line]. A request that this process has cut is a warning: the limit of the log drops lines below,
 * and a cut is the end that somebody asks about.
 */
internal fun levelOf(line: RequestLine): Level = if (line.end == RequestOutcome.CUT.name) Level.WARN else Level.INFO

/** Returns the [segments] of a prompt as they appear in a line, or null if there are none. */
internal fun promptText(segments: List<PromptSegmentId>): String? =
    segments.takeIf { it.isNotEmpty() }?.joinToString(" ") { it.text }

/** Returns this line with what the answer of the endpoint looked like, or without it if [summary] is null. */
internal fun RequestLine.withAnswer(summary: AnswerSummary?): RequestLine =
    copy(
        contentType = summary?.contentType,
        framing = summary?.framing?.name,
        firstEvent = summary?.firstEvent,
        lastEvent = summary?.lastEvent,
        skippedEvents = summary?.skippedEvents,
    )

/** Returns this line with the state of the [stop] at [now] and the [recent] times of the service, if there is a stop. */
internal fun RequestLine.withStop(
    stop: StopTimes?,
    recent: RequestTimes?,
    now: Instant,
): RequestLine {
    if (stop == null) return this
    return copy(
        stoppingMs = (now - stop.startedAt).inWholeMilliseconds,
        stopLeftMs = (stop.endsAt - now).inWholeMilliseconds,
        knownMeanMs = recent?.mean?.inWholeMilliseconds,
        knownLongestMs = recent?.longest?.inWholeMilliseconds,
    )
}

private fun messageOf(line: RequestLine): StringMapMessage {
    val message = StringMapMessage()
    message.with("part", "request")
    json.encodeToJsonElement(RequestLine.serializer(), line).jsonObject.forEach { (name, value) ->
        if (value is JsonPrimitive) message.with(name, value.content)
    }
    return message
}

private val json = Json { encodeDefaults = false }
private val logger = LogManager.getLogger("org.cicadaturn.tasks.gateway.RequestJournal")
