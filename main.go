// Command dotterelridge serves rarely used language models.
package main

import (
	"os"

	"github.com/dotterelridge/dotterelridge/drcommand"
)

func main() {
	os.Exit(drcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}
