package org.quetzalloom.relay.http

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Seconds without data after which the first TCP keep-alive probe is sent. */
private const val KEEP_ALIVE_IDLE_SECONDS = 2

/** Seconds between two probes. */
private const val KEEP_ALIVE_INTERVAL_SECONDS = 1

/** Unanswered probes after which the connection is dropped. */
private const val KEEP_ALIVE_PROBES = 3

/** Sets the options of accepted connections: no delay, and keep-alive probes that detect a dead peer. */
internal fun ServerBootstrap.withRelayOptions(): ServerBootstrap = apply {
    childOption(ChannelOption.TCP_NODELAY, true)
    childOption(ChannelOption.SO_KEEPALIVE, true)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
}

/** Sets the options of outgoing connections, which are the same as those of accepted ones. */
internal fun Bootstrap.withRelayOptions(): Bootstrap = apply {
    option(ChannelOption.TCP_NODELAY, true)
    option(ChannelOption.SO_KEEPALIVE, true)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
}
