// Command generate reads the output of go test -json from its standard input
// and writes the page of the fault matrix to its standard output. It exits with
// status 1 if a cell of the page has neither test nor reason, or if a test on the
// page has no result; the page is written nevertheless.
package main

import (
	"bufio"
	"fmt"
	"os"

	"github.com/dotterelridge/dotterelridge/drmatrix"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "generate the fault matrix:", err)
		os.Exit(1)
	}
}

func run() error {
	results, err := drmatrix.ReadResults(os.Stdin)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	err = drmatrix.Write(out, results)
	if ferr := out.Flush(); ferr != nil {
		return ferr
	}
	return err
}
