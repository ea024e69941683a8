package org.cicadaturn.tasks.http

import org.cicadaturn.decisions.connection.ConnectionLimits

/** Returns the account of a connection that has memory enough. */
internal fun testAccount(): ConnectionAccount =
    checkNotNull(connectionAccounts(ConnectionLimits(connections = 1, bytes = 1_000_000_000)).open {})
