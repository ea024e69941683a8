package org.cicadaturn.daemons.command

/** Exit code: the command succeeded. */
internal const val SUCCESS: Int = 0

/** Exit code: the command started to run and failed. */
internal const val FAILED_RUN: Int = 1

/** Exit code: the command line is invalid. */
internal const val BAD_USAGE: Int = 2

/** Exit code: the settings file is invalid. */
internal const val BAD_SETTINGS: Int = 3

/** Exit code: the system refused the call, or did not confirm the change. */
internal const val REFUSED: Int = 4

/** Exit code: the system could not be reached. */
internal const val UNREACHABLE: Int = 5

/** Exit code: the process ended itself, as it could not serve any more after an error. */
internal const val FATAL_ERROR: Int = 6

/** Description of the exit codes in the help of every command. */
internal const val EXIT_CODE_HELP: String =
    "Exit codes: 0 success, 1 failed run, 2 bad usage, 3 bad settings, 4 not confirmed or refused by the system, " +
        "5 system cannot be reached, 6 process ended itself after a fatal error."
