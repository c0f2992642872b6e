// Package cmd has the subcommands of sequoiarack, one a file.
package cmd
