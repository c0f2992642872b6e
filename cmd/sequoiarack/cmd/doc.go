// Package cmd implements the subcommands of sequoiarack, each in a file of its own.
package cmd
