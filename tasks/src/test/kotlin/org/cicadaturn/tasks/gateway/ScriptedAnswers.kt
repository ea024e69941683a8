package org.cicadaturn.tasks.gateway

import java.io.OutputStream

/** Returns the bytes of a request with the body "hi" to [path] with identifier [id] and further [headers]. */
internal fun request(
    path: String,
    headers: String = "",
    id: String = "r1",
): String =
    "POST $path HTTP/1.1\r\nHost: shop.example\r\nX-Id: $id\r\nAuthorization: Bearer key\r\n" +
        "Content-Length: 2\r\n$headers\r\nhi"

/** Writes [text] and returns true, which keeps the connection of a [ScriptedEndpoint] open. */
internal fun OutputStream.text(text: String): Boolean {
    write(text.encodeToByteArray())
    return true
}

/** Returns the head of a signed success with [headers], separated by line ends. */
internal fun okHead(
    request: RawRequest,
    headers: String,
): String = "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: s\r\n$headers\r\n\r\n"

/** Writes a signed success with the body "ok" and keeps the connection open. */
internal fun answerOk(
    request: RawRequest,
    out: OutputStream,
): Boolean = out.text(okHead(request, "Content-Length: 2") + "ok")

/** Returns a whole event stream with [events] and its length. */
internal fun streamAnswer(
    request: RawRequest,
    signature: String,
    events: String,
): String = streamHead(request, signature).replace("\r\n\r\n", "\r\nContent-Length: ${events.length}\r\n\r\n") + events

/** Returns the head of an event stream without a length. */
internal fun streamHead(
    request: RawRequest,
    signature: String,
): String =
    "HTTP/1.1 200 OK\r\nX-Id: ${request.id}\r\nX-Signature: $signature\r\nContent-Type: text/event-stream\r\n\r\n"

/** Returns event [id] of a stream. */
internal fun event(id: Int): String = "id: $id\ndata: d$id\n\n"
