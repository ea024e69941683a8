package org.cicadaturn.tasks.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpConstants

/**
 * Search for the end of a head in bytes that arrive in pieces; each byte is examined once.
 *
 * A head is kept as bytes until all of it has arrived. Decoded, a head of many short lines takes up to a hundred times as
 * much memory as its bytes.
 */
internal class HeadScan {
    private var scanned = 0
    private var lineStart = 0

    /** Number of lines of the head so far, with the request line or the status line. */
    var lines = 0
        private set

    /**
     * Returns the length of the head with the empty line that ends it, or -1 if that has not arrived. The head begins at
     * the reader index of [buffer], and its bytes must stay the same until [reset] is called.
     */
    fun lengthIn(buffer: ByteBuf): Int {
        val begin = buffer.readerIndex()
        while (true) {
            val end = buffer.indexOf(begin + scanned, buffer.writerIndex(), HttpConstants.LF)
            if (end < 0) {
                scanned = buffer.readableBytes()
                return -1
            }
            scanned = end + 1 - begin
            val length = scanned - 1 - lineStart
            val isEmpty = length == 0 || (length == 1 && buffer.getByte(end - 1) == HttpConstants.CR)
            if (isEmpty) return scanned
            lineStart = scanned
            lines += 1
        }
    }

    /** Begins the search for the end of the next head. */
    fun reset() {
        scanned = 0
        lineStart = 0
        lines = 0
    }
}
