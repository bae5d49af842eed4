// Command standins-2 plays the cases of review/REPORT-2.md: stand-ins of the platform's store,
// of runners and of clients around entry VMs that the run.sh of a case starts.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// environment is what a case gets.
type environment struct {
	dir     string
	record  *record
	trouble bool
}

// cases returns the cases by name. Each reports whether its rule was broken.
func cases() map[string]func(environment) (broken bool, err error) {
	return map[string]func(environment) (bool, error){
		"releases": playReleases, "stale": playStale, "board": playBoard, "silence": playSilence, "holder": playHolder,
	}
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", "", "temporary folder that run.sh shares")
	name := flag.String("case", "", "case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play, known := cases()[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitFailed
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	broken, err := play(environment{*dir, rec, *trouble})
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
	case broken:
		rec.add("the rule was broken")
	default:
		rec.add("the rule held")
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
