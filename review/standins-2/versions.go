package main

import (
	"fmt"
	"time"
)

const (
	service   = "watch-app"
	watchPath = "/watch/"
	clientKey = "k1e2y3"
	// maxMixedStreams is how many streams may hold events of two versions.
	maxMixedStreams = 2
	// minTakenUp is from how many streams that are taken up on the share that goes on counts.
	minTakenUp  = 12
	oldVersion  = "v1"
	newVersion  = "v2"
	lastVersion = "v3"
	// killedEdge and cutEdge are the entry VMs that a case kills, or cuts off and kills.
	killedEdge = 2
	cutEdge    = 1
	// shortStream and longStream are numbers of events.
	shortStream = 60
	longStream  = 100
)

// startRunners starts runners of a version on free ports.
func startRunners(f *fleet, count int, version, prefix string, events int) ([]*runner, error) {
	var runners []*runner
	for i := range count {
		r, err := startRunner(f.store, f.record, fmt.Sprintf("%s%d", prefix, i+1), service, version, "127.0.0.1:0", events, nil)
		if err != nil {
			return nil, err
		}
		runners = append(runners, r)
	}
	return runners, nil
}

// mixed counts the streams with events of two versions.
func (c *clients) mixed() int {
	n := 0
	for i, st := range c.all {
		if len(st.versions) > 1 {
			n++
			c.record.add("stream %d holds events of two versions: %v", i, st.versions)
		}
	}
	return n
}

// release replaces runners one after the other, each gap: the new one starts first, then the
// old one drains. It returns the new ones.
func release(f *fleet, old []*runner, version string, gap time.Duration) ([]*runner, error) {
	var fresh []*runner
	for _, r := range old {
		n, err := startRunner(f.store, f.record, r.id+"-"+version, service, version, "127.0.0.1:0", r.events, nil)
		if err != nil {
			return nil, err
		}
		fresh = append(fresh, n)
		time.Sleep(gap / 4)
		go r.drain()
		time.Sleep(gap - gap/4)
	}
	return fresh, nil
}

// playReleases replaces four of nine runners by the next version, twice, and kills an entry VM
// right after the second time. It compares how many of its streams go on with how many begin.
func playReleases(env environment) (broken bool, err error) {
	f, err := newFleet(env.dir, env.record, 3)
	if err != nil {
		return false, err
	}
	if err := f.configure(service, watchPath, clientKey); err != nil {
		return false, err
	}
	runners, err := startRunners(f, 9, oldVersion, "r", longStream)
	if err != nil {
		return false, err
	}
	if err := f.start(); err != nil {
		return false, err
	}
	c := &clients{record: env.record, path: watchPath + "a", key: clientKey, events: longStream}
	played := make(chan error, 1)
	go func() { played <- playTwoReleases(f, env, runners) }()
	for i := range 450 {
		c.open(f.callers(), i%3, (i+1)%2)
		time.Sleep(40 * time.Millisecond)
	}
	c.wg.Wait()
	if err := <-played; err != nil {
		return false, err
	}
	return c.fewGoOn(f), nil
}

func playTwoReleases(f *fleet, env environment, runners []*runner) error {
	if !env.trouble {
		return nil
	}
	time.Sleep(3 * time.Second)
	fresh, err := release(f, runners[:4], newVersion, time.Second)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	// Two runners of the first version stay, three of the next one.
	next := []*runner{runners[4], runners[5], fresh[0], runners[6]}
	if _, err := release(f, next, lastVersion, time.Second); err != nil {
		return err
	}
	return f.kill(killedEdge)
}

// fewGoOn reports whether the share of the streams taken up that goes on is under half of the
// share of the new ones that begin. Attempts at an entry VM that is gone don't count.
func (c *clients) fewGoOn(f *fleet) bool {
	isNew, begun, takenUp, goOn := 0, 0, 0, 0
	for _, st := range c.all {
		if first := st.attempts[0]; !f.goneAt(first.edge, first.sentAt) {
			isNew++
			if first.events > 0 {
				begun++
			}
		}
		if len(st.attempts) > 1 && st.attempts[0].events > 0 {
			takenUp++
			if st.attempts[1].events > 0 {
				goOn++
			}
		}
	}
	c.record.add("%d of %d new streams begin; of %d taken up, %d go on", begun, isNew, takenUp, goOn)
	if takenUp < minTakenUp {
		return false
	}
	return float64(goOn)/float64(takenUp) < float64(begun)/float64(isNew)/2
}

// playStale cuts an entry VM off from the store and the others, replaces one of three runners
// by the next version, kills the entry VM and counts streams of two versions.
func playStale(env environment) (broken bool, err error) {
	f, err := newFleet(env.dir, env.record, 3)
	if err != nil {
		return false, err
	}
	if err := f.configure(service, watchPath, clientKey); err != nil {
		return false, err
	}
	runners, err := startRunners(f, 3, oldVersion, "r", shortStream)
	if err != nil {
		return false, err
	}
	storeLink, err := newLink(f.storeAddress, "")
	if err != nil {
		return false, err
	}
	peerLink, err := newLink(f.edges[0].peers, f.edges[cutEdge].name)
	if err != nil {
		return false, err
	}
	// The first entry VM, as the stronger one, is the controller.
	f.edges[0].advertised, f.edges[0].processor, f.edges[1].store = peerLink.address(), 0.8, storeLink.address()
	if err := f.start(); err != nil {
		return false, err
	}
	c := &clients{record: env.record, path: watchPath + "a", key: clientKey, events: shortStream}
	played := make(chan error, 1)
	go func() { played <- playCutAndRelease(f, env, runners, storeLink, peerLink) }()
	for range 320 {
		c.open(f.callers(), cutEdge, 0)
		time.Sleep(25 * time.Millisecond)
	}
	c.wg.Wait()
	if err := <-played; err != nil {
		return false, err
	}
	n := c.mixed()
	env.record.add("%d of %d streams hold events of two versions, %d may", n, len(c.all), maxMixedStreams)
	return n > maxMixedStreams, nil
}

// cutTime is how long the entry VM is cut off until it is killed.
const cutTime = 4 * time.Second

func playCutAndRelease(f *fleet, env environment, runners []*runner, links ...*link) error {
	time.Sleep(3 * time.Second)
	began := time.Now()
	if env.trouble {
		f.record.add("entry VM %d is cut off", cutEdge)
		for _, l := range links {
			l.cut(true)
		}
	}
	if _, err := release(f, runners[:1], newVersion, time.Second); err != nil {
		return err
	}
	time.Sleep(cutTime - time.Since(began))
	if !env.trouble {
		return nil
	}
	return f.kill(cutEdge)
}
