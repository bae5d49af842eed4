package main

import "time"

// boardStream is the number of events of a stream of the departure board.
const boardStream = 110

// playBoard has many clients follow the same stream, replaces half of its runners by others of
// the same version, and compares how many of the streams that are taken up go on with how many
// begin.
func playBoard(env environment) (broken bool, err error) {
	f, err := newFleet(env.dir, env.record, 3)
	if err != nil {
		return false, err
	}
	if err := f.configure(service, watchPath, clientKey); err != nil {
		return false, err
	}
	runners, err := startRunners(f, 10, oldVersion, "r", boardStream)
	if err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := &clients{record: env.record, path: watchPath + "board", key: clientKey, events: boardStream, alike: true}
	released := make(chan error, 1)
	go func() {
		time.Sleep(3500 * time.Millisecond)
		if !env.trouble {
			released <- nil
			return
		}
		_, err := release(f, runners[:5], oldVersion, time.Second)
		released <- err
	}()
	// Most clients come as the board opens, a few later.
	for i := range 120 {
		c.open(f.callers(), i%3, (i+1)%3)
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 60 {
		c.open(f.callers(), i%3, (i+1)%3)
		time.Sleep(250 * time.Millisecond)
	}
	c.wg.Wait()
	if err := <-released; err != nil {
		return false, err
	}
	return c.fewGoOn(f), nil
}
