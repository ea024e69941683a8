package org.cicadaturn.schemagen

import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Writes the generated code; the arguments are the schema directory and the output directory. */
fun main(args: Array<String>) {
    require(args.size == 2) {
        "expected two arguments, the schema directory and the output directory, but got ${args.size}"
    }
    val target = Path.of(args[1]).createDirectories()
    generate(Path.of(args[0])).forEach { (name, text) -> target.resolve(name).writeText(text) }
}
