// Command sequoiarack-bench runs load tests and benchmarks of sequoiarack.
package main

import (
	"os"

	"github.com/sequoiarack/sequoiarack/cmd/sequoiarack-bench/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
