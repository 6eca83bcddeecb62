package org.quetzalloom.relay.http

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Seconds of silence after which the peer of an open connection is asked whether it is still there. */
private const val KEEP_ALIVE_IDLE_SECONDS = 2

/** Seconds between two such questions. */
private const val KEEP_ALIVE_INTERVAL_SECONDS = 1

/** Questions without an answer after which the connection is lost. */
private const val KEEP_ALIVE_PROBES = 3

/** Sets the options of connections that are accepted: no delay, and probes that notice a peer that has gone silent. */
internal fun ServerBootstrap.withRelayOptions(): ServerBootstrap = apply {
    childOption(ChannelOption.TCP_NODELAY, true)
    childOption(ChannelOption.SO_KEEPALIVE, true)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
    childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
}

/** Sets the same options for connections that are made. */
internal fun Bootstrap.withRelayOptions(): Bootstrap = apply {
    option(ChannelOption.TCP_NODELAY, true)
    option(ChannelOption.SO_KEEPALIVE, true)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
    option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
}
