package drcapacity

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
)

// Measurement is the content of docs/capacity.json.
type Measurement struct {
	Revision  string   `json:"revision"`
	GoVersion string   `json:"go-version"`
	Cores     int      `json:"cores"`
	Load      string   `json:"load-average"`
	Repeats   int      `json:"repeats"`
	Series    []Series `json:"series"`
	Fleets    []Fleet  `json:"fleets"`
}

// Read reads a measurement from the JSON file at path.
func Read(path string) (Measurement, error) {
	var m Measurement
	data, err := os.ReadFile(path)
	if err != nil {
		return m, err
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("%s: %w", path, err)
	}
	return m, nil
}

// Write replaces the file at path by the measurement as indented JSON.
func (m Measurement) Write(path string) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// series returns the series with the given name, or an error if it was not
// measured.
func (m Measurement) series(name string) (Series, error) {
	i := slices.IndexFunc(m.Series, func(series Series) bool { return series.Name == name })
	if i < 0 {
		return Series{}, fmt.Errorf("measurement lacks the series %q", name)
	}
	return m.Series[i], nil
}
