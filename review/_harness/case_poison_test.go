package harness_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// stableWindow is stable_window_ms: so long after its start a VM is in touch.
	stableWindow = 3 * time.Second
	// poisonPause is the time between two requests of the client whose request crashes
	// the runners that run it.
	poisonPause = 3500 * time.Millisecond
	// maxPoisonRetries is the number of retries that may reach runners.
	maxPoisonRetries = 3
	// poisonBody is the body of that request.
	poisonBody = `{"order":"poison"}`
	// crashTime is how long a runner is gone after a crash.
	crashTime = 1500 * time.Millisecond
)

// poisonRun is what the runners see of the request that crashes them.
type poisonRun struct {
	mu      sync.Mutex
	crashes int
	thirdAt time.Time
	// retries are the ids of the requests that have reached runners later than
	// stableWindow after the third crash, and were sent to a VM in touch.
	retries map[string]bool
	inTouch map[string]bool // ids of requests that were sent to a VM in touch
}

// poisonCase checks that a request that crashes the runners that run it reaches runners
// in three retries at most, sent by VMs in touch later than stable_window_ms after the
// third crash. The disruption kills the processes of all VMs twice.
func poisonCase(f *fleet, trouble bool) error {
	f.putConfig(1, key)
	p := &poisonRun{retries: make(map[string]bool), inTouch: make(map[string]bool)}
	for i := range 4 {
		r := startRunner(f.store, f.log, fmt.Sprintf("i-app-%d", i), "app")
		r.answer = func(w http.ResponseWriter, req *http.Request, body []byte) {
			if string(body) != poisonBody {
				answerPlain(w, req, body)
				return
			}
			p.crash(r, req.Header.Get("X-Request-Id"))
			closeConn(w, true)
		}
	}
	if err := f.start("vm-1", "vm-2", "vm-3"); err != nil {
		return err
	}
	p.send(f, 4)
	for range 2 {
		if trouble {
			f.log.printf("the processes of all VMs are killed and started again")
			if err := f.restartAll(); err != nil {
				return err
			}
		}
		time.Sleep(stableWindow + 500*time.Millisecond)
		p.send(f, 5)
	}
	return p.result(f)
}

// result returns errBroken if too many retries have reached runners.
func (p *poisonRun) result(f *fleet) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	f.log.printf("%d crashes; %d retries have reached runners later than %s after the third", p.crashes, len(p.retries), stableWindow)
	if n := len(p.retries); n > maxPoisonRetries {
		return fmt.Errorf("%w: BUDGET: %d retries of a request that crashes runners have reached runners", errBroken, n)
	}
	return nil
}

// send sends the request a number of times, each to another VM.
func (p *poisonRun) send(f *fleet, times int) {
	for i := range times {
		c := call{method: "POST", path: "/buy/2f", body: poisonBody, deadline: 3 * time.Second}
		v := f.vms[i%len(f.vms)]
		id := newID()
		p.mu.Lock()
		p.inTouch[id] = true
		p.mu.Unlock()
		f.log.printf("a client sends the request that crashes runners to %s: %s", v.name, c.sendAs(v.callers, id))
		time.Sleep(poisonPause)
	}
}

// crash counts a request that the runner begins to run, and crashes the runner.
func (p *poisonRun) crash(r *runner, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes++
	if p.crashes == 3 {
		p.thirdAt = time.Now()
	}
	if p.crashes > 3 && time.Since(p.thirdAt) > stableWindow && p.inTouch[id] {
		p.retries[id] = true
	}
	r.log.printf("%s crashes, crash %d", r.id, p.crashes)
	r.crash(crashTime)
}

// restartAll kills the processes of all VMs at once, starts them again and waits until
// they are ready.
func (f *fleet) restartAll() error {
	for _, v := range f.vms {
		v.kill()
	}
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return f.awaitReady()
}
