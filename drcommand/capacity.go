package drcommand

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/dotterelridge/dotterelridge/drcapacity"
)

// runCapacity adds the requested measurements to the data file and writes the
// capacity page from it. Without -units and -fleets it measures nothing and only
// writes the page.
func runCapacity(ctx context.Context, env environment, args []string) error {
	flags := newFlags(env, "capacity", "")
	data := flags.String("data", "docs/capacity.json", "file with the measurements")
	page := flags.String("page", "docs/capacity-serve.md", "page to write; empty for none")
	units := flags.Bool("units", false, "measure the units of work")
	fleets := flags.String("fleets", "", "groups of fleets to measure, separated by commas, or all: "+strings.Join(drcapacity.Groups(), ","))
	repeats := flags.Int("repeats", 5, "repetitions of each unit measurement")
	revision := flags.String("revision", "unknown", "source revision to note with the measurements")
	if err := parse(flags, args, 0, 0); err != nil {
		return err
	}
	groups := strings.FieldsFunc(*fleets, isComma)
	if *fleets == "all" {
		groups = drcapacity.Groups()
	}
	m, err := readMeasurement(*data)
	if err != nil {
		return err
	}
	if *units || len(groups) > 0 {
		if err := setLogging(env, "error"); err != nil {
			return err
		}
		m, err = drcapacity.Measure(ctx, drcapacity.Options{
			Repeats: *repeats, Groups: groups, Units: *units, Revision: *revision, Progress: env.stderr,
		}, m)
		// Results measured before a failure are written as well.
		if err = errors.Join(err, m.Write(*data)); err != nil {
			return err
		}
	}
	if *page == "" {
		return nil
	}
	if err := drcapacity.WritePage(*page, m); err != nil {
		return fmt.Errorf("write capacity page: %w", err)
	}
	return nil
}

// readMeasurement reads the data file, or returns an empty measurement if the
// file does not exist.
func readMeasurement(path string) (drcapacity.Measurement, error) {
	m, err := drcapacity.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return drcapacity.Measurement{}, nil
	}
	return m, err
}
