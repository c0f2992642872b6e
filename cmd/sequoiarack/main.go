// Command sequoiarack is a multi-region inference gateway.
package main

import (
	"os"

	"github.com/sequoiarack/sequoiarack/cmd/sequoiarack/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
