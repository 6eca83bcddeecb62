package org.quetzalloom.tool

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.quetzalloom.tool.command.CheckCommand
import org.quetzalloom.tool.command.DiffCommand
import org.quetzalloom.tool.command.DrainCommand
import org.quetzalloom.tool.command.ExplainCommand
import org.quetzalloom.tool.command.PublishCommand
import org.quetzalloom.tool.command.RolloutCommand
import org.quetzalloom.tool.command.StatusCommand
import org.quetzalloom.tool.command.TimelineCommand
import org.quetzalloom.tool.command.WithdrawCommand
import org.quetzalloom.tool.command.ZoneCommand

/** Runs one command of an operator, such as `quetzalloom zone out az-1 --settings base.toml`. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    val parser = ArgParser("quetzalloom")
    parser.subcommands(
        CheckCommand(),
        DiffCommand(),
        PublishCommand(),
        StatusCommand(),
        ZoneCommand(),
        DrainCommand(),
        RolloutCommand(),
        WithdrawCommand(),
        TimelineCommand(),
        ExplainCommand(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}
