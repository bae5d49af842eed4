package drmatrix

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

const pageHead = `# Fault matrix

This page is generated; do not edit it. It is written from the results of a run by

` + "```sh" + `
go test -json -timeout 10m ./... | go run ./drmatrix/generate > docs/fault-matrix.md
` + "```" + `

Each cell names the tests that cover a step under a fault, with their result in that run, or the reason why there is no
test. "not run" means that the run held no result of the test. A test marked "random" draws its faults from a fixed seed
and need not meet each cell in every run. TestCells and TestPoisonRequest run on clusters of three entry VMs in one
process over real sockets; there "process death" ends the VM without a drain, "zone partition" cuts it off from the
log and from the other VMs, and each fault lasts 2 s unless it is permanent. drmatrix/table.go holds the table.
`

// Write writes the page. After writing it, Write returns an error if there are
// cells without test and reason or tests without a result; the error names them.
func Write(writer io.Writer, results Results) error {
	var missing []string
	var body strings.Builder
	tested, reasons := 0, 0
	for _, p := range protocols {
		fmt.Fprintf(&body, "\n## %s\n", p.name)
		for _, step := range p.steps {
			fmt.Fprintf(&body, "\n### %s: %s\n\n| fault | covered by | result |\n| --- | --- | --- |\n", p.name, step)
			for _, c := range columns {
				cell := Find(Row{p.name, step}, c)
				if len(cell.Tests) == 0 {
					reasons++
					if cell.Reason == "" {
						missing = append(missing, p.name+"/"+step+"/"+c)
					}
					fmt.Fprintf(&body, "| %s | none: %s | |\n", c, cell.Reason)
					continue
				}
				tested++
				names, outcomes := results.describe(cell.Tests)
				missing = append(missing, results.withoutResult(cell.Tests)...)
				fmt.Fprintf(&body, "| %s | %s | %s |\n", c, names, outcomes)
			}
		}
	}
	if _, err := fmt.Fprintf(writer, "%s\n%d cells have tests, %d have a reason.\n%s%s", pageHead, tested, reasons, body.String(), mutationsText()); err != nil {
		return err
	}
	if len(missing) > 0 {
		slices.Sort(missing)
		return fmt.Errorf("cells without test and reason, or tests without result: %s", strings.Join(slices.Compact(missing), ", "))
	}
	return nil
}

// describe returns the names of tests and their results in the same order, or a
// single result if it is the same for all.
func (r Results) describe(tests []string) (names, outcomes string) {
	var formattedNames, testOutcomes []string
	for _, t := range tests {
		n := "`" + t + "`"
		if Random(t) {
			n += " (random)"
		}
		o := r[t]
		if o == "" {
			o = "not run"
		}
		formattedNames, testOutcomes = append(formattedNames, n), append(testOutcomes, o)
	}
	if len(slices.Compact(slices.Clone(testOutcomes))) == 1 {
		testOutcomes = testOutcomes[:1]
	}
	return strings.Join(formattedNames, ", "), strings.Join(testOutcomes, ", ")
}

func (r Results) withoutResult(tests []string) []string {
	return slices.DeleteFunc(slices.Clone(tests), func(t string) bool { return r[t] != "" })
}

func mutationsText() string {
	var b strings.Builder
	b.WriteString("\n## Mechanisms removed\n\nEach mechanism was removed on a scratch copy and the tests of its package were run. These are trials, recorded by\nhand in drmatrix/mutation.go.\n\n| invariant | mechanism removed | file | tests that failed |\n| --- | --- | --- | --- |\n")
	for _, m := range mutations {
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", m.invariant, m.mechanism, m.file, m.failedTests)
	}
	return b.String()
}
