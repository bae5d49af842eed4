package drmatrix

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path"
)

// Results holds the outcome of each test of a run, by package.Test: "pass",
// "fail" or "skip". A test that started and did not end has failed.
type Results map[string]string

// ReadResults reads the output of go test -json until its end. It skips lines that
// are no JSON objects, such as build errors.
func ReadResults(reader io.Reader) (Results, error) {
	results := make(Results)
	lines := bufio.NewReader(reader)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 && line[0] == '{' {
			var e struct{ Action, Package, Test string }
			if jerr := json.Unmarshal(line, &e); jerr != nil {
				return nil, fmt.Errorf("decode a line of the test output: %w", jerr)
			}
			results.add(e.Action, path.Base(e.Package)+"."+e.Test, e.Test)
		}
		if errors.Is(err, io.EOF) {
			return results, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (r Results) add(action, name, test string) {
	if test == "" {
		return
	}
	switch action {
	case "run":
		if r[name] == "" {
			r[name] = "fail"
		}
	case "pass", "fail", "skip":
		r[name] = action
	}
}
