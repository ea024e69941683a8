package org.cicadaturn.tasks.store

/** Header in which a client names its failure domain. */
public const val STORE_DOMAIN_HEADER: String = "X-Failure-Domain"

/** Path of get, put and delete; the key is the query parameter [STORE_KEY]. */
public const val STORE_OBJECT_PATH: String = "/v1/object"

/** Path of list; the prefix is the query parameter [STORE_PREFIX]. */
public const val STORE_LIST_PATH: String = "/v1/objects"

/** Path of watch; its query parameters are [STORE_PREFIX], [STORE_FROM] and [STORE_WAIT]. */
public const val STORE_WATCH_PATH: String = "/v1/watch"

/** Query parameter with the key of an object. */
public const val STORE_KEY: String = "key"

/** Query parameter with the prefix of keys. */
public const val STORE_PREFIX: String = "prefix"

/** Query parameter with the version that a deletion expects. */
public const val STORE_EXPECTED: String = "expected"

/** Query parameter with the version that a watch starts after. */
public const val STORE_FROM: String = "from"

/** Query parameter with the longest wait of a watch, in milliseconds. */
public const val STORE_WAIT: String = "wait-ms"
