package org.quetzalloom.core.relay.model

/**
 * What is known of a model's answer when it begins.
 *
 * @property modelIndex the place of the model in its route.
 * @property confidence the model's own opinion of the answer, from 0 to 100.
 */
public data class ModelAnswer(public val modelIndex: Int, public val confidence: Int)
