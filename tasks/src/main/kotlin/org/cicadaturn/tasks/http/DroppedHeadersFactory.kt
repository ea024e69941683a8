package org.cicadaturn.tasks.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** Returns headers that keep nothing, for trailers. */
internal object DroppedHeadersFactory : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = DroppedHeaders()

    override fun newEmptyHeaders(): HttpHeaders = DroppedHeaders()
}

/** Headers that keep nothing. Trailers are not passed on, and thousands of short ones would take memory until their end. */
private class DroppedHeaders : DefaultHttpHeaders() {
    override fun add(
        name: CharSequence?,
        value: Any?,
    ): HttpHeaders = this
}
