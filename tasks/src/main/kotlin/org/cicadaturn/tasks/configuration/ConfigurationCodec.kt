package org.cicadaturn.tasks.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json
import org.cicadaturn.schema.generated.Configuration
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.Base64
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Store key of the configuration. */
public const val CONFIGURATION_KEY: String = "configuration/current"

/** Maximum length of an encoded configuration after decompression, in bytes. */
private const val MAX_UNPACKED_BYTES = 8 shl 20

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

private val json = Json { ignoreUnknownKeys = true }

/**
 * Maximum length of a value that is stored uncompressed, in characters.
 *
 * Uncompressed, a configuration of the design size that changes 2,500 times a day would cost each watching process
 * 20 KB/s.
 */
private const val MAX_PLAIN_CHARACTERS = 32 * 1024

/** Encodes [configuration] for the store: as JSON, or as Base64 of compressed JSON if it is long. */
public fun encodeConfiguration(configuration: Configuration): String {
    val plain = json.encodeToString(Configuration.serializer(), configuration)
    if (plain.length <= MAX_PLAIN_CHARACTERS) return plain
    return Base64.getEncoder().encodeToString(compress(plain.encodeToByteArray()))
}

/** Decodes [text] from the store; returns the configuration or a description of the error. */
public fun decodeConfiguration(text: String): Either<String, Configuration> =
    try {
        val plain = if (text.startsWith("{")) text else decompress(Base64.getDecoder().decode(text)).decodeToString()
        json.decodeFromString(Configuration.serializer(), plain).right()
    } catch (e: IllegalArgumentException) {
        "configuration in the store is not understood: ${e.message.orEmpty().take(200)}".left()
    } catch (e: IOException) {
        "configuration in the store is damaged: ${e.message}".left()
    }

/** Encodes [configuration] for peers: as compressed CBOR, to stay within the limit on control traffic of a node. */
@OptIn(ExperimentalSerializationApi::class)
internal fun packConfiguration(configuration: Configuration): ByteArray =
    compress(cbor.encodeToByteArray(Configuration.serializer(), configuration))

/** Decodes [bytes] from a peer; returns the configuration or a description of the error. */
@OptIn(ExperimentalSerializationApi::class)
internal fun unpackConfiguration(bytes: ByteArray): Either<String, Configuration> =
    try {
        cbor.decodeFromByteArray(Configuration.serializer(), decompress(bytes)).right()
    } catch (e: IOException) {
        "configuration from a peer is damaged: ${e.message}".left()
    } catch (e: SerializationException) {
        "configuration from a peer is not understood: ${e.message}".left()
    } catch (e: IllegalArgumentException) {
        "configuration from a peer is not understood: ${e.message}".left()
    }

private fun compress(plain: ByteArray): ByteArray {
    val out = ByteArrayOutputStream()
    GZIPOutputStream(out).use { it.write(plain) }
    return out.toByteArray()
}

/** Decompresses at most [MAX_UNPACKED_BYTES], so that a small corrupt or malicious value cannot exhaust the memory. */
private fun decompress(bytes: ByteArray): ByteArray =
    GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readNBytes(MAX_UNPACKED_BYTES) }

/** Returns the length of [configuration] in the encoding for peers, in bytes. */
public fun packedConfigurationBytes(configuration: Configuration): Int = packConfiguration(configuration).size
