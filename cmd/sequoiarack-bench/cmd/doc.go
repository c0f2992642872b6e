// Package cmd has the subcommands of sequoiarack-bench, one a file.
package cmd
