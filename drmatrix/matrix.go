package drmatrix

import (
	"slices"
	"strings"
)

// Row is a step of a protocol.
type Row struct {
	Protocol, Step string
}

// Cell names the tests of a step under a fault, or the reason why there is none.
type Cell struct {
	// Tests are names of the form package.Test or package.Test/subtest.
	Tests []string
	// Reason is the reason why there is no test; empty if there are tests.
	Reason string
}

// Rows returns the steps of all protocols in the order of the page.
func Rows() []Row {
	var rows []Row
	for _, p := range protocols {
		for _, s := range p.steps {
			rows = append(rows, Row{p.name, s})
		}
	}
	return rows
}

// Columns returns the faults in the order of the page.
func Columns() []string { return slices.Clone(columns) }

// Find returns the cell of a row and a column, with the tests of all entries of
// the table that cover it. The cell is empty if the table has none.
func Find(row Row, column string) Cell {
	var c Cell
	for _, e := range coverageEntries {
		if e.protocol != row.Protocol || e.step != "" && e.step != row.Step || !slices.Contains(e.columns, column) {
			continue
		}
		if e.reason != "" && len(c.Tests) == 0 {
			c.Reason = e.reason
		}
		c.Tests = append(c.Tests, e.tests...)
	}
	if test, ok := clusterTest(row, column); ok {
		c.Tests = append(c.Tests, test)
	}
	if len(c.Tests) > 0 {
		c.Reason = ""
	}
	return c
}

// clusterTest returns the name of the test of this package that runs the cell on a
// cluster, and whether there is one.
func clusterTest(row Row, column string) (string, bool) {
	excluded, ok := excludedColumnsByStep[row]
	if !ok || slices.Contains(columnsNotInCluster, column) || slices.Contains(excluded, column) {
		return "", false
	}
	test := "drmatrix.TestCells/"
	if column == "poison request" {
		test = "drmatrix.TestPoisonRequest/"
	}
	return test + strings.ReplaceAll(row.Protocol+"/"+row.Step+"/"+column, " ", "-"), true
}

// Random reports whether a test reaches its cells by seeded random
// interleavings of faults, so that a single run need not meet each of them.
func Random(test string) bool { return slices.Contains(randomTests, test) }
