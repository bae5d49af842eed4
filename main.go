// Command dotterelridge serves rarely used language models. Its subcommands run
// an entry VM, check and change the configuration, print the status and the
// events of entry VMs, and measure them under load. Without arguments it prints
// a list of the subcommands.
package main

import (
	"os"

	"github.com/dotterelridge/dotterelridge/drcommand"
)

func main() {
	os.Exit(drcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
