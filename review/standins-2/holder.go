package main

import (
	"fmt"
	"time"
)

const (
	// askedModel is held by one runner of each version.
	askedModel = "m1"
	// holderStream is the number of events of a stream, holderDeadline that of its client.
	holderStream   = 50
	holderDeadline = 6 * time.Second
	holderTarget   = 500 * time.Millisecond
	holderDown     = 4500 * time.Millisecond
)

// playHolder crashes the only runner of one version that holds a model, and compares how many of
// its streams that are taken up go on with how many begin.
func playHolder(env environment) (broken bool, err error) {
	f, err := newFleet(env.dir, env.record, 3)
	if err != nil {
		return false, err
	}
	models := []string{askedModel, "m2", "m3", "m4", "m5"}
	if err := f.configureRoute(service, watchPath, clientKey, holderDeadline, holderTarget, engineConfig(models)); err != nil {
		return false, err
	}
	var runners []*runner
	for i, held := range []string{askedModel, "m2", "m3", "m4", "m5", askedModel} {
		version := oldVersion
		if i == 5 {
			version = newVersion
		}
		r, err := startRunner(f.store, f.record, fmt.Sprintf("r%d", i+1), service, version, "127.0.0.1:0", holderStream, newEngine(held))
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := &clients{record: env.record, path: watchPath + "a", key: clientKey, events: holderStream, model: askedModel, deadline: holderDeadline}
	time.Sleep(2 * time.Second)
	crashed := make(chan error, 1)
	go func() {
		time.Sleep(9 * time.Second)
		if !env.trouble {
			crashed <- nil
			return
		}
		r := runners[0]
		r.crash()
		time.Sleep(holderDown)
		_, err := startRunner(f.store, f.record, r.id, service, oldVersion, r.address, holderStream, &engine{copies: []string{askedModel}})
		crashed <- err
	}()
	for i := range 60 {
		c.open(f.callers(), i%3, (i+1)%3)
		time.Sleep(250 * time.Millisecond)
	}
	c.wg.Wait()
	if err := <-crashed; err != nil {
		return false, err
	}
	return c.fewGoOn(f), nil
}
