// Package cmd implements the subcommands of sequoiarack-bench, each in a file of its own.
package cmd
