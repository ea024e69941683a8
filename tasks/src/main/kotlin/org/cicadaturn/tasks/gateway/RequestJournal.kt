package org.cicadaturn.tasks.gateway

import org.apache.logging.log4j.LogManager
import org.cicadaturn.schema.generated.LiveEndpoint

/** Writes a line for each decision that touches a request. */
internal interface RequestJournal {
    /** Notes the end of an attempt at [endpoint], or why there was none. */
    fun attempt(
        requestId: String?,
        endpoint: LiveEndpoint?,
        outcome: String,
    )

    /** Notes how a request ended. */
    fun end(
        requestId: String?,
        end: RequestEnd,
        millis: Long,
    )
}

/** Returns a journal that writes to the log. */
internal fun requestJournal(): RequestJournal = LogJournal

private object LogJournal : RequestJournal {
    private val logger = LogManager.getLogger(RequestJournal::class.java)

    override fun attempt(
        requestId: String?,
        endpoint: LiveEndpoint?,
        outcome: String,
    ) {
        logger.info("request: {} at {} {}: {}", requestId, endpoint?.id, endpoint?.address, outcome)
    }

    override fun end(
        requestId: String?,
        end: RequestEnd,
        millis: Long,
    ) {
        if (end.status in SUCCESS && end.reason == "answered") return
        logger.info("request: {} ended with {} after {} ms: {}", requestId, end.status, millis, end.reason)
    }

    private val SUCCESS = 200..299
}
