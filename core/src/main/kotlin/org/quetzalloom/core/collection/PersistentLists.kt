package org.quetzalloom.core.collection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList

/**
 * Returns the elements of this list that do not match [predicate], in their order.
 *
 * Use it in place of `removeAll`, which throws or returns a list with nulls if the first 32, 64, 96 … elements of a
 * longer list are what remains (kotlinx.collections.immutable 0.4.0).
 */
public inline fun <T> PersistentList<T>.without(predicate: (T) -> Boolean): PersistentList<T> =
    filterNot(predicate).toPersistentList()
