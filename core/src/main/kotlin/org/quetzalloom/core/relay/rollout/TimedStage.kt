package org.quetzalloom.core.relay.rollout

/** The stages of a response whose times are compared between versions. */
internal enum class TimedStage {
    /** From sending the request until the response can be decided upon. */
    START,

    /** From one event of a stream to the next. */
    EVENT,
}
