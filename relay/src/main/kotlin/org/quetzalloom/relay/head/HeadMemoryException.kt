package org.quetzalloom.relay.head

/** Thrown if a head finds no room in the memory that messages may take together. */
internal class HeadMemoryException : RuntimeException("the messages of others take the memory", null, false, false)
